package targets

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// Guards against misreading the header that targets send, also with unknown fields.
func TestParseReport(t *testing.T) {
	g := NewWithT(t)
	report, err := ParseReport("inflight=3;queued=1;served=1200; incarnation=ab12;version=v2;draining=1;cpu=0.5")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report).To(Equal(Report{InFlight: 3, Queued: 1, Served: 1200, Incarnation: "ab12", Version: "v2", Draining: true}))
}

// Guards against accepting malformed, oversized or contradictory reports.
func TestParseReportRejects(t *testing.T) {
	g := NewWithT(t)
	for _, value := range []string{
		"", "inflight=3", "incarnation=a", "inflight=-1;incarnation=a", "inflight=1000001;incarnation=a",
		"inflight=1;inflight=2;incarnation=a", "inflight=1;incarnation=", "inflight=1;incarnation=a b", "inflight=1;incarnation=a;draining=yes",
		"inflight;incarnation=a", "inflight=1;incarnation=" + strings.Repeat("a", 65), "inflight=1;incarnation=a" + strings.Repeat(";x", 300),
	} {
		report, err := ParseReport(value)
		g.Expect(errors.Cause(err)).To(Equal(ErrInvalidReport), value)
		g.Expect(report).To(Equal(Report{}), value)
	}
}

// Guards against panics and unbounded values on arbitrary input.
func TestParseReportIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report, err := ParseReport(rapid.StringMatching(`(inflight|queued|incarnation|x)=[0-9a-z]{0,9}(;(inflight|incarnation|served)=[0-9]{0,30}){0,4}`).Draw(t, "value"))
		if err == nil && (report.Incarnation == "" || report.InFlight > maxReportedCount) {
			t.Fatalf("%+v", report)
		}
	})
}
