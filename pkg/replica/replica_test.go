package replica

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/revision"
)

var start = time.Unix(1000, 0)

// at returns a revision of era 0.
func at(number uint64) revision.Revision { return revision.Decode(number) }

func object(name string, changed, created uint64) Object {
	return Object{Name: name, Revision: at(changed), Created: at(created)}
}

// Guards against a delayed list, a delayed event or a peer that lags behind replacing a newer
// object.
func TestOlderObjectsAreIgnored(t *testing.T) {
	old := object("main", 5, 1)
	outdated := map[string]func(r *Replica){
		"delayed list":  func(r *Replica) { r.Replace(start, Configurations, at(6), []Object{old}, false) },
		"delayed event": func(r *Replica) { r.Apply(start, Configurations, at(6), []Event{{Object: old}}, false) },
		"lagging peer": func(r *Replica) {
			r.Merge(start, Delta{Kind: Configurations, Full: true, AsOf: at(6), Objects: []Object{old}})
		},
		"lagging peer's removal": func(r *Replica) {
			r.Merge(start, Delta{Kind: Configurations, AsOf: at(6), Removed: []string{"main"}})
		},
	}
	for name, deliver := range outdated {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := New()
			r.Replace(start, Configurations, at(9), []Object{object("main", 8, 1)}, false)
			deliver(r)
			stored, ok := r.Object(Configurations, "main")
			g.Expect(ok).To(BeTrue())
			g.Expect(stored.Revision).To(Equal(at(8)))
			g.Expect(r.AsOf(Configurations)).To(Equal(at(9)))
		})
	}
}

// Guards against a removed target being used again because a peer that lags behind still has
// it, and against its new registration being rejected.
func TestRemovedObjectsReturnOnlyWhenRecreated(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Replace(start, Targets, at(9), []Object{object("a", 8, 3)}, false)
	r.Apply(start, Targets, at(12), []Event{{Object: object("a", 8, 3), Deleted: true}}, false)
	g.Expect(r.Merge(start, Delta{Kind: Targets, AsOf: at(11), Objects: []Object{object("a", 10, 3)}})).To(BeFalse())
	g.Expect(r.Apply(start, Targets, at(14), []Event{{Object: object("a", 13, 13)}}, false)).To(BeTrue())
	_, ok := r.Object(Targets, "a")
	g.Expect(ok).To(BeTrue())
}

// Guards against targets being dropped because their entries expired during an outage of the
// store, and against entries that never return being used indefinitely.
func TestLapsedObjectsExpireUnlessRecreated(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Replace(start, Targets, at(9), []Object{object("alive", 5, 2), object("dead", 6, 3)}, false)
	r.Replace(start, Targets, at(20), nil, true)
	g.Expect(r.Objects(Targets)).To(HaveLen(2))
	r.Apply(start.Add(time.Second), Targets, at(22), []Event{{Object: object("alive", 21, 21)}}, true)
	g.Expect(r.Expire(start.Add(lapseRetention - time.Millisecond))).To(BeFalse())
	g.Expect(r.Expire(start.Add(lapseRetention))).To(BeTrue())
	g.Expect(r.Objects(Targets)).To(HaveLen(1))
	back, _ := r.Object(Targets, "alive")
	g.Expect(back.Lapsed).To(BeFalse())
}

// Guards against lapsed objects being removed while the store is unreachable, and against their
// being retained indefinitely afterwards.
func TestLapsedObjectsAreExtendedWhileTheStoreIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Replace(start, Targets, at(9), []Object{object("a", 5, 2)}, false)
	r.Replace(start, Targets, at(20), nil, true)
	r.ExtendLapsed(start.Add(lapseRetention - time.Millisecond))
	g.Expect(r.Expire(start.Add(lapseRetention))).To(BeFalse())
	g.Expect(r.Expire(start.Add(2*lapseRetention - time.Millisecond))).To(BeTrue())
	g.Expect(r.Objects(Targets)).To(BeEmpty())
}

// Guards against all targets being dropped after an outage of the store that a single watch
// spans: its response holds the removal and the return of each entry, and the return is older
// than the revision of the response.
func TestLapseAndReturnInOneResponse(t *testing.T) {
	for name, c := range map[string]struct {
		events []Event
		lapse  bool
		stays  bool
	}{
		"lapsed and back":       {[]Event{{Object: object("a", 5, 2), Deleted: true}, {Object: object("a", 12, 12)}}, true, true},
		"removed and back":      {[]Event{{Object: object("a", 5, 2), Deleted: true}, {Object: object("a", 12, 12)}}, false, true},
		"back and removed anew": {[]Event{{Object: object("a", 5, 2), Deleted: true}, {Object: object("a", 12, 12)}, {Object: object("a", 12, 12), Deleted: true}}, false, false},
		"back and lapsed anew":  {[]Event{{Object: object("a", 5, 2), Deleted: true}, {Object: object("a", 12, 12)}, {Object: object("a", 12, 12), Deleted: true}}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := New()
			r.Replace(start, Targets, at(9), []Object{object("a", 5, 2)}, false)
			r.Apply(start, Targets, at(40), c.events, c.lapse)
			r.Expire(start.Add(lapseRetention))
			found, ok := r.Object(Targets, "a")
			g.Expect(ok).To(Equal(c.stays))
			if ok {
				g.Expect(found).To(Equal(object("a", 12, 12)))
			}
			peer := New()
			delta, _ := r.DeltaSince(Targets, Position{Loaded: true, AsOf: at(9)})
			peer.Replace(start, Targets, at(9), []Object{object("a", 5, 2)}, false)
			peer.Merge(start, delta)
			g.Expect(peer.Objects(Targets)).To(HaveLen(len(r.Objects(Targets))), "a peer has the same objects")
		})
	}
}

// Guards against a node that treats an entry as lapsed restoring, at its peers, a target that
// they have removed.
func TestLapsedObjectOfAPeerDoesNotUndoARemoval(t *testing.T) {
	g := NewWithT(t)
	withRemoval, withLapse := New(), New()
	for _, r := range []*Replica{withRemoval, withLapse} {
		r.Replace(start, Targets, at(9), []Object{object("a", 8, 3)}, false)
	}
	withRemoval.Apply(start, Targets, at(12), []Event{{Object: object("a", 8, 3), Deleted: true}}, false)
	withLapse.Apply(start, Targets, at(13), []Event{{Object: object("a", 8, 3), Deleted: true}}, true)
	delta, ok := withLapse.DeltaSince(Targets, Position{Loaded: true, AsOf: at(12)})
	g.Expect(ok).To(BeTrue())
	withRemoval.Merge(start, delta)
	g.Expect(withRemoval.Objects(Targets)).To(BeEmpty())
}

// Guards against a peer that lags behind missing a removal whose tombstone was dropped.
func TestPeerBehindTheTombstonesGetsTheWholeKind(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Replace(start, Targets, at(1), []Object{object("stays", 1, 1)}, false)
	for revision := uint64(2); revision < 2*maxTombstones+10; revision += 2 {
		r.Apply(start, Targets, at(revision), []Event{{Object: object("t", revision, revision)}}, false)
		r.Apply(start, Targets, at(revision+1), []Event{{Object: object("t", revision, revision), Deleted: true}}, false)
	}
	delta, ok := r.DeltaSince(Targets, Position{Loaded: true, AsOf: at(2)})
	g.Expect(ok).To(BeTrue())
	g.Expect(delta.Full).To(BeTrue())
	g.Expect(delta.Objects).To(HaveLen(1))
}

// model is a reference model of the store's history of one kind.
type model struct {
	revision  uint64
	objects   map[string]Object
	history   []Event
	revisions []uint64
}

func (m *model) change(t *rapid.T) {
	m.revision++
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	current, exists := m.objects[name]
	if exists && rapid.Bool().Draw(t, "delete") {
		delete(m.objects, name)
		m.history = append(m.history, Event{Object: current, Deleted: true})
		m.revisions = append(m.revisions, m.revision)
		return
	}
	next := Object{Name: name, Revision: at(m.revision), Created: current.Created}
	if !exists {
		next.Created = at(m.revision)
	}
	m.objects[name] = next
	m.history = append(m.history, Event{Object: next})
	m.revisions = append(m.revisions, m.revision)
}

func (m *model) since(revision uint64) []Event {
	var events []Event
	for i, at := range m.revisions {
		if at > revision {
			events = append(events, m.history[i])
		}
	}
	return events
}

// Guards, over arbitrary sequences of lists, watches and fetches between nodes, with and without
// failures of the store, against a replica at the store's revision that lacks an object or keeps
// a removed one beyond the retention of lapsed objects, and against a revision that decreases.
func TestReplicasFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		store := &model{revision: 1, objects: map[string]Object{}}
		replicas := []*Replica{New(), New(), New()}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := rapid.SampledFrom(replicas).Draw(t, "replica")
			before := r.AsOf(Targets)
			lapse := rapid.Bool().Draw(t, "lapse")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				store.change(t)
			case 1:
				var all []Object
				for _, o := range store.objects {
					all = append(all, o)
				}
				r.Replace(now, Targets, at(store.revision), all, lapse)
			case 2:
				if r.IsLoaded(Targets) {
					r.Apply(now, Targets, at(store.revision), store.since(before.Number()), lapse)
				}
			case 3:
				from := rapid.SampledFrom(replicas).Draw(t, "from")
				delta, ok := from.DeltaSince(Targets, r.Position(Targets))
				if ok {
					r.Merge(now, delta)
				}
			case 4:
				now = now.Add(lapseRetention / 2)
				for _, r := range replicas {
					r.Expire(now)
				}
			}
			g.Expect(before.After(r.AsOf(Targets))).To(BeFalse())
			for _, r := range replicas {
				if r.IsLoaded(Targets) && r.AsOf(Targets) == at(store.revision) {
					g.Expect(unlapsed(r)).To(Equal(store.objects))
				}
			}
		}
		for _, r := range replicas {
			r.Expire(now.Add(lapseRetention))
			if r.IsLoaded(Targets) && r.AsOf(Targets) == at(store.revision) {
				g.Expect(r.Objects(Targets)).To(HaveLen(len(store.objects)), "no entry stays lapsed indefinitely")
			}
		}
	})
}

// unlapsed returns the objects that have not lapsed, by name.
func unlapsed(r *Replica) map[string]Object {
	objects := map[string]Object{}
	for _, o := range r.Objects(Targets) {
		if !o.Lapsed {
			objects[o.Name] = o
		}
	}
	return objects
}
