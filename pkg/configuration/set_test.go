package configuration

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Guards against a spec with a misspelt field being accepted and ignored.
func TestBuildRejectsUnknownField(t *testing.T) {
	g := NewWithT(t)
	_, err := Build(1, []api.Object{{Kind: api.KindDataCentre, Name: "north", Spec: []byte(`{"sate":"Out"}`)}})
	g.Expect(err).To(MatchError(ContainSubstring("DataCentre/north")))
}

// Guards against generations being lost between the manifest and the set.
func TestBuildPreservesGenerations(t *testing.T) {
	g := NewWithT(t)
	set, err := Build(7, []api.Object{{Kind: api.KindCaller, Name: "hall", Generation: 3, Spec: []byte(`{"cidrs":[],"weight":1}`)}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(set.Revision).To(BeEquivalentTo(7))
	g.Expect(set.Generations).To(HaveKeyWithValue("Caller/hall", 3))
}
