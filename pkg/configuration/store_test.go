package configuration

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// platformRevision is one revision as the platform holds it.
type platformRevision struct {
	manifest api.Manifest
	blobs    map[string][]byte
}

// publishNext derives the next revision by setting or removing one object.
func publishNext(t *rapid.T, previous platformRevision) platformRevision {
	next := platformRevision{api.Manifest{Entries: api.ManifestEntries{}}, map[string][]byte{}}
	for key, entry := range previous.manifest.Entries {
		next.manifest.Entries[key], next.blobs[entry.Digest] = entry, previous.blobs[entry.Digest]
	}
	key := "Caller/" + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	if weight := rapid.IntRange(0, 3).Draw(t, "weight"); weight == 0 {
		delete(next.manifest.Entries, key)
	} else {
		spec := fmt.Appendf(nil, `{"cidrs":[],"weight":%d}`, weight)
		next.manifest.Entries[key] = api.ManifestEntry{Digest: Digest(spec), Generation: previous.manifest.Entries[key].Generation + 1}
		next.blobs[Digest(spec)] = spec
	}
	return next
}

// P10. Guards against an accepted configuration being reverted by reordered,
// repeated, stale or damaged deliveries, from the platform and from peers, and
// against a delta that leads to another content than the platform's.
func TestAcceptedConfigurationIsNeverReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		history := []platformRevision{{api.Manifest{}, nil}}
		stores := []*Store{NewStore(), NewStore(), NewStore()}
		deltas := []Delta{}
		highest := []uint64{0, 0, 0}
		check := func(node int, set *Set, before uint64) {
			store := stores[node]
			g.Expect(store.Revision()).To(BeNumerically(">=", before), "reverted")
			g.Expect(set != nil).To(Equal(store.Revision() > before))
			highest[node] = max(highest[node], store.Revision())
			g.Expect(store.Revision()).To(Equal(highest[node]))
			want := history[store.Revision()].manifest.Entries
			g.Expect(store.manifest.Entries).To(HaveLen(len(want)))
			for key, entry := range want {
				g.Expect(store.manifest.Entries).To(HaveKeyWithValue(key, entry))
			}
			g.Expect(len(store.blobs)).To(BeNumerically("<=", len(want)))
		}
		node := func(label string) int { return rapid.IntRange(0, 2).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { history = append(history, publishNext(t, history[len(history)-1])) },
			"many": func(t *rapid.T) {
				// More than the history, so that a store falls too far behind.
				for range HistoryLength + 1 {
					history = append(history, publishNext(t, history[len(history)-1]))
					to := len(history) - 1
					_, err := stores[0].Accept(uint64(to), history[to].manifest, history[to].blobs)
					g.Expect(err).NotTo(HaveOccurred())
				}
				highest[0] = stores[0].Revision()
			},
			"read": func(t *rapid.T) {
				to, at := node("to"), rapid.IntRange(0, len(history)-1).Draw(t, "revision")
				before := stores[to].Revision()
				set, err := stores[to].Accept(uint64(at), history[at].manifest, history[at].blobs)
				g.Expect(err).NotTo(HaveOccurred())
				check(to, set, before)
			},
			"fetch": func(t *rapid.T) { deltas = append(deltas, stores[node("from")].Delta(stores[node("for")].Revision())) },
			"deliver": func(t *rapid.T) {
				if len(deltas) == 0 {
					return
				}
				to, delta := node("to"), rapid.SampledFrom(deltas).Draw(t, "delta")
				before := stores[to].Revision()
				set, err := stores[to].ApplyDelta(delta)
				if err != nil {
					g.Expect(err).To(MatchError(ErrBaseMismatch))
					g.Expect(delta.From).NotTo(Equal(before))
				}
				check(to, set, before)
			},
			"damaged": func(t *rapid.T) {
				to, at := node("to"), len(history)-1
				before, missing := stores[to].Revision(), stores[to].Missing(history[at].manifest)
				if uint64(at) <= before || len(missing) == 0 {
					return
				}
				_, err := stores[to].Accept(uint64(at), history[at].manifest, map[string][]byte{missing[0]: []byte(`{}`)})
				g.Expect(err).To(Or(MatchError(ErrDigestMismatch), MatchError(ErrMissingBlob)))
				check(to, nil, before)
			},
		})
	})
}

// Guards against a change that transfers more than the changed entry, and against
// a delta from a revision that this store skipped.
func TestDeltaHoldsOnlyChangesAndIsFullForUnknownBase(t *testing.T) {
	g := NewWithT(t)
	store := NewStore()
	spec := func(weight int) []byte { return fmt.Appendf(nil, `{"cidrs":[],"weight":%d}`, weight) }
	for revision := uint64(2); revision <= 2*(HistoryLength+1); revision += 2 {
		constant, changing := spec(1), spec(int(revision))
		_, err := store.Accept(revision, api.Manifest{Entries: api.ManifestEntries{
			"Caller/a": {Digest: Digest(constant), Generation: 1}, "Caller/b": {Digest: Digest(changing), Generation: int(revision)},
		}}, map[string][]byte{Digest(constant): constant, Digest(changing): changing})
		g.Expect(err).NotTo(HaveOccurred())
	}
	last := store.Revision()
	recent := store.Delta(last - 2)
	g.Expect(recent.Full).To(BeFalse())
	g.Expect(recent.Entries).To(HaveLen(1))
	g.Expect(recent.Blobs).To(HaveLen(1))
	for _, have := range []uint64{0, 2, last - 1} {
		full := store.Delta(have)
		g.Expect(full.Full).To(BeTrue())
		g.Expect(full.Entries).To(HaveLen(2))
	}
	g.Expect(store.Delta(last + 1).Entries).To(BeEmpty())
}
