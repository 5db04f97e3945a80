package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// maxOperations is how many operation ids a manifest remembers.
const maxOperations = 64

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// operationRecord is one entry of Manifest.Operations: the id, the digest of the
// blob that holds the outcome, and the revision of the commit, separated by
// spaces. The revision is the platform's version of the manifest and thus not
// known when the manifest is written; the next commit adds it.
type operationRecord struct {
	id            string
	outcomeDigest string
	revision      uint64
}

func parseOperation(text string) operationRecord {
	record := operationRecord{}
	fields := strings.Fields(text)
	if len(fields) > 0 {
		record.id = fields[0]
	}
	if len(fields) > 1 {
		record.outcomeDigest = fields[1]
	}
	if len(fields) > 2 {
		record.revision, _ = strconv.ParseUint(fields[2], 10, 64)
	}
	return record
}

func (r operationRecord) String() string {
	text := r.id + " " + r.outcomeDigest
	if r.revision > 0 {
		text += " " + strconv.FormatUint(r.revision, 10)
	}
	return text
}

// findOperation returns the record of a committed operation. The manifest's own
// revision completes the newest record.
func findOperation(manifest api.Manifest, revision uint64, id string) (operationRecord, bool) {
	for _, text := range completeOperations(manifest.Operations, revision) {
		record := parseOperation(text)
		if record.id == id {
			return record, true
		}
	}
	return operationRecord{}, false
}

// completeOperations adds the revision to the newest record.
func completeOperations(operations []string, revision uint64) []string {
	completed := append([]string{}, operations...)
	if len(completed) == 0 {
		return completed
	}
	last := parseOperation(completed[len(completed)-1])
	if last.revision == 0 {
		last.revision = revision
		completed[len(completed)-1] = last.String()
	}
	return completed
}

func appendOperation(operations []string, record operationRecord) []string {
	operations = append(operations, record.String())
	if len(operations) > maxOperations {
		operations = operations[len(operations)-maxOperations:]
	}
	return operations
}

// storedOutcome is the content of an outcome blob. Request identifies what was
// asked, so that an operation id used for something else is noticed. Operation
// makes the blob's digest unique to the operation.
type storedOutcome struct {
	Operation string  `json:"operation"`
	Request   string  `json:"request"`
	Outcome   Outcome `json:"outcome"`
}

// requestDigest identifies what a change asks for, apart from its operation id.
func requestDigest(c change) (string, error) {
	text, err := json.Marshal(ApplyRequest{Objects: c.objects, Delete: c.deletions, IfRevision: c.ifRevision})
	if err != nil {
		return "", errors.Wrap(err, "encode request")
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}
