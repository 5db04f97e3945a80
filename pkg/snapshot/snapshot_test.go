package snapshot

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a caller being given the weight of a wider network.
func TestCallerByLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	prefix := func(text string) []netip.Prefix { return []netip.Prefix{netip.MustParsePrefix(text)} }
	view := &Snapshot{Callers: []CallerGroup{
		{Name: "narrow", Prefixes: prefix("10.1.0.0/16")}, {Name: "wide", Prefixes: prefix("10.0.0.0/8")},
	}}
	g.Expect(view.CallerByAddress(netip.MustParseAddr("10.1.2.3")).Name).To(Equal("narrow"))
	g.Expect(view.CallerByAddress(netip.MustParseAddr("10.2.2.3")).Name).To(Equal("wide"))
	g.Expect(view.CallerByAddress(netip.MustParseAddr("11.0.0.1"))).To(BeNil())
}
