package proxy

import "github.com/fireflychute/fireflychute/pkg/admission"

// Reasons of rejections. Others come from pkg/admission and from failed attempts.
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

// labelTarget is the label of requests that a target rejected or that could not be sent to one.
const labelTarget = "target"

// rejectionLabels maps reasons to the labels by which rejections are counted. The errors of failed
// attempts contain addresses, each of which would create its own series.
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
