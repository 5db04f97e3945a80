package proxy

import "github.com/fireflychute/fireflychute/pkg/admission"

// Texts of refusals. Other texts come from pkg/admission and from failed tries.
const (
	reasonNoConfiguration = "node has no valid configuration"
	reasonNoRoute         = "no route"
	reasonBadDepth        = HeaderDepth + " is not a number"
	reasonTooDeep         = "chain of calls is too deep"
	reasonUpgrade         = "upgrade and tunnels are not supported"
	reasonTooLarge        = "body is larger than the kind of work allows"
	reasonNoTarget        = "no target"
	reasonDeadline        = "deadline passed or caller left"
	reasonNoDeduplicator  = "no record of idempotency keys"
	reasonKeyNotRecorded  = "idempotency key could not be recorded; use a new key"
)

// labelTarget is the label of requests that targets refused or could not be sent.
const labelTarget = "target"

// rejectionLabels are the labels by which refusals are counted. The texts of failed
// tries hold addresses, which would make a series each.
var rejectionLabels = map[string]string{
	reasonNoConfiguration:             "no_configuration",
	reasonNoRoute:                     "no_route",
	reasonBadDepth:                    "bad_header",
	reasonTooDeep:                     "too_deep",
	reasonUpgrade:                     "unsupported",
	reasonTooLarge:                    "too_large",
	reasonNoTarget:                    "no_target",
	reasonDeadline:                    "deadline",
	reasonNoDeduplicator:              "deduplication",
	reasonKeyNotRecorded:              "deduplication",
	string(admission.ReasonFull):      "queue_full",
	string(admission.ReasonOverShare): "over_share",
	string(admission.ReasonExpired):   "deadline",
}

func rejectionLabel(reason string) string {
	label, ok := rejectionLabels[reason]
	if !ok {
		return labelTarget
	}
	return label
}
