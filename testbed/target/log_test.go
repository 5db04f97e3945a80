package target

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an unreadable log of a killed target because its last line is truncated.
func TestReadExecutionsIgnoresTruncatedLastLine(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	at := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	log := ExecutionLog{Out: &out}
	log.write("a", "/x/a", at)
	log.write("b", "/x/b", at)
	out.Truncate(out.Len() - 4)
	executions, err := ReadExecutions(&out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(executions).To(Equal([]Execution{{ID: "a", Path: "/x/a", At: at}}))
}
