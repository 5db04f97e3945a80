package replica

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/revision"
)

// in returns a revision of an era.
func in(era, number uint64) revision.Revision {
	at, err := revision.New(era, number)
	if err != nil {
		panic(err) // a test passed a number that no revision can hold
	}
	return at
}

// version returns a configuration with the operator's version.
func version(number uint64, at revision.Revision) Object {
	return Object{Name: "main", Revision: at, Created: in(at.Era(), 1), Generation: Generation{Sequence: number}, Spec: fmt.Append(nil, number)}
}

// entry returns an instance's entry.
func entry(name string, at, created revision.Revision, sequence uint64, spec string) Object {
	return Object{Name: name, Revision: at, Created: created, Generation: Generation{Incarnation: 7, Sequence: sequence}, Spec: []byte(spec)}
}

// Guards against a configuration that goes back to that of the copy from which the store came back, and against one
// that is not applied because the store counts its revisions anew.
func TestConfigurationDoesNotFollowAnOlderCopy(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Replace(start, Configurations, in(1, 45), []Object{version(11, in(1, 45))}, false)
	r.Replace(start, Configurations, in(2, 30), []Object{version(8, in(2, 30))}, false)
	inForce := func() uint64 {
		object, _ := r.Object(Configurations, "main")
		return object.Generation.Sequence
	}
	g.Expect(inForce()).To(BeEquivalentTo(11))
	stored, exists, isInForce := r.Stored(Configurations, "main")
	g.Expect([]any{stored.Generation.Sequence, exists, isInForce}).To(Equal([]any{uint64(8), true, false}))
	r.Expire(start.Add(time.Hour))
	g.Expect(inForce()).To(BeEquivalentTo(11), "for as long as there is nothing newer")
	r.Apply(start, Configurations, in(2, 36), []Event{{Object: version(13, in(2, 36))}}, false)
	g.Expect(inForce()).To(BeEquivalentTo(13), "revision 36 of the new era is after revision 45 of the one before")
	g.Expect(r.Replace(start, Configurations, in(1, 99), []Object{version(11, in(1, 45))}, false)).To(BeFalse(), "a late answer")
	r.Replace(start, Configurations, in(3, 20), nil, false)
	g.Expect(inForce()).To(BeEquivalentTo(13), "the copy has none")
}

// Guards against targets that were registered after the copy being dropped, against ones that had left before the
// restore being used again, and against a live one that the copy has in an earlier state.
func TestTargetsAcrossARestore(t *testing.T) {
	g := NewWithT(t)
	r := New()
	created := in(1, 3)
	r.Replace(start, Targets, in(1, 40), []Object{
		entry("newer", in(1, 39), in(1, 39), 2, "ready"), entry("left", in(1, 10), created, 5, "ready"), entry("draining", in(1, 38), created, 9, "draining"),
	}, false)
	r.Apply(start, Targets, in(1, 45), []Event{{Object: entry("left", in(1, 10), created, 5, "ready"), Deleted: true}}, false)
	copied := in(2, 3)
	r.Replace(start, Targets, in(2, 20), []Object{entry("left", in(2, 10), copied, 5, "ready"), entry("draining", in(2, 12), copied, 6, "ready")}, false)
	state := func(name string) string {
		object, exists := r.Object(Targets, name)
		if !exists {
			return "none"
		}
		return string(object.Spec)
	}
	g.Expect([]string{state("newer"), state("left"), state("draining")}).To(Equal([]string{"ready", "none", "draining"}))
	r.Apply(start, Targets, in(2, 23), []Event{
		{Object: entry("newer", in(2, 22), in(2, 22), 3, "ready")}, {Object: entry("left", in(2, 10), copied, 5, "ready"), Deleted: true},
	}, true)
	r.Expire(start.Add(time.Hour))
	g.Expect([]string{state("newer"), state("left"), state("draining")}).To(Equal([]string{"ready", "none", "ready"}), "the store still has the entry, so its instance lives")
}

// Guards against a target that the nodes took for gone, and that lives, being left out for good.
func TestLiveTargetOfTheCopyIsUsedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		deliver func(r *Replica)
		atOnce  bool
	}{
		"it writes again": {func(r *Replica) { r.Apply(start, Targets, in(2, 21), []Event{{Object: laterWrite()}}, false) }, true},
		"it has started anew": {func(r *Replica) {
			started := laterWrite()
			started.Generation.Incarnation++
			r.Put(start, Targets, started)
		}, true},
		"it stays in the store": {func(*Replica) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := New()
			old := entry("a", in(1, 10), in(1, 3), 5, "ready")
			r.Replace(start, Targets, in(1, 40), []Object{old}, false)
			r.Apply(start, Targets, in(1, 45), []Event{{Object: old, Deleted: true}}, false)
			r.Replace(start, Targets, in(2, 20), []Object{entry("a", in(2, 10), in(2, 3), 5, "ready")}, false)
			c.deliver(r)
			_, exists := r.Object(Targets, "a")
			g.Expect(exists).To(Equal(c.atOnce))
			r.Expire(start.Add(removalDoubtTime))
			_, exists = r.Object(Targets, "a")
			g.Expect(exists).To(BeTrue())
		})
	}
}

// laterWrite returns the entry as its instance writes it again after the restore.
func laterWrite() Object { return entry("a", in(2, 21), in(2, 3), 6, "ready") }

// Guards against a withdrawn evacuation, or an order of another state, taking effect because the copy has it, and
// against the operator's writes after the restore being ignored.
func TestOperatorsObjectsAcrossARestore(t *testing.T) {
	g := NewWithT(t)
	r := New()
	zone := func(name string, at revision.Revision) Object {
		return Object{Name: name, Revision: at, Created: in(at.Era(), 5)}
	}
	r.Replace(start, Evacuations, in(1, 30), []Object{zone("kept", in(1, 6)), zone("ended", in(1, 7)), zone("added", in(1, 30))}, false)
	r.Apply(start, Evacuations, in(1, 40), []Event{{Object: zone("ended", in(1, 7)), Deleted: true}}, false)
	r.Replace(start, Evacuations, in(2, 20), []Object{zone("kept", in(2, 6)), zone("ended", in(2, 7))}, false)
	names := func() (all []string) {
		for _, object := range r.Objects(Evacuations) {
			all = append(all, object.Name)
		}
		return all
	}
	g.Expect(names()).To(Equal([]string{"added", "kept"}))
	r.Apply(start, Evacuations, in(2, 22), []Event{{Object: zone("ended", in(2, 7)), Deleted: true}, {Object: zone("added", in(2, 22))}}, false)
	r.Expire(start.Add(time.Hour))
	g.Expect(names()).To(Equal([]string{"added", "kept"}))
}

// Guards against a node that starts after a restore, or was cut off during it, and knows less than the others.
func TestPeersTellWhatTheCopyLacks(t *testing.T) {
	g := NewWithT(t)
	informed := New()
	informed.Replace(start, Configurations, in(1, 45), []Object{version(11, in(1, 45))}, false)
	informed.Replace(start, Configurations, in(2, 30), []Object{version(8, in(2, 30))}, false)
	for name, peer := range map[string]*Replica{"started": New(), "read the copy": New(), "cut off": New()} {
		switch name {
		case "read the copy":
			peer.Replace(start, Configurations, in(2, 30), []Object{version(8, in(2, 30))}, false)
		case "cut off":
			peer.Replace(start, Configurations, in(1, 44), []Object{version(10, in(1, 44))}, false)
		}
		delta, ok := informed.DeltaSince(Configurations, peer.Position(Configurations))
		g.Expect(ok).To(BeTrue(), name)
		peer.Merge(start, delta)
		object, _ := peer.Object(Configurations, "main")
		g.Expect(object.Generation.Sequence).To(BeEquivalentTo(11), name)
		g.Expect(peer.AsOf(Configurations)).To(Equal(in(2, 30)), name)
		_, again := informed.DeltaSince(Configurations, peer.Position(Configurations))
		g.Expect(again).To(BeFalse(), name)
	}
	stale := New()
	stale.Replace(start, Configurations, in(1, 45), []Object{version(11, in(1, 45))}, false)
	_, ok := stale.DeltaSince(Configurations, informed.Position(Configurations))
	g.Expect(ok).To(BeFalse())
	late := Delta{Kind: Configurations, Full: true, AsOf: in(1, 99), Objects: []Object{version(9, in(1, 99))}}
	g.Expect(informed.Merge(start, late)).To(BeFalse(), "a peer's delta of an earlier era")
}

// eraModel is a store with one configuration and some entries that is restored from copies.
type eraModel struct {
	era, revision uint64
	objects       map[string]Object
	copies        []eraModel
	newest        uint64 // version of the newest configuration that was acknowledged
}

func (m *eraModel) put(object Object) {
	m.revision++
	current, exists := m.objects[object.Name]
	object.Revision, object.Created = in(m.era, m.revision), in(m.era, m.revision)
	if exists {
		object.Created = current.Created
	}
	m.objects[object.Name] = object
}

func (m *eraModel) copy() eraModel {
	clone := eraModel{revision: m.revision, objects: map[string]Object{}}
	for name, object := range m.objects {
		clone.objects[name] = object
	}
	return clone
}

// restore replaces the objects by those of a copy, in the next era.
func (m *eraModel) restore(from eraModel) {
	m.era++
	m.revision, m.objects = from.revision, map[string]Object{}
	for name, object := range from.objects {
		object.Revision, object.Created = in(m.era, object.Revision.Number()), in(m.era, object.Created.Number())
		m.objects[name] = object
	}
}

func (m *eraModel) list() (all []Object) {
	for _, object := range m.objects {
		all = append(all, object)
	}
	return all
}

// Guards, over arbitrary sequences of writes, restores in series, lists, exchanges between nodes, restarts and
// late answers, against a configuration that goes back at a node, against a position that goes back, and against nodes
// that disagree once the operator has written the newest version again and all have received it.
func TestConfigurationNeverGoesBackAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		store := &eraModel{era: 1, revision: 1, objects: map[string]Object{}}
		replicas := []*Replica{New(), New(), New()}
		type answer struct {
			asOf    revision.Revision
			objects []Object
		}
		var delayed []answer
		write := func() {
			store.newest++
			store.put(version(store.newest, revision.Revision{}))
		}
		write()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			r := replicas[at]
			before, position := r.Position(Configurations).Generation.Sequence, r.AsOf(Configurations)
			restarted := false
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				write()
			case 1:
				store.copies = append(store.copies, store.copy())
			case 2:
				if len(store.copies) > 0 {
					store.restore(rapid.SampledFrom(store.copies).Draw(t, "copy"))
				}
			case 3:
				r.Replace(start, Configurations, in(store.era, store.revision), store.list(), rapid.Bool().Draw(t, "lapse"))
			case 4, 5:
				from := rapid.SampledFrom(replicas).Draw(t, "from")
				if delta, ok := from.DeltaSince(Configurations, r.Position(Configurations)); ok {
					r.Merge(start, delta)
				}
			case 6:
				replicas[at], restarted = New(), true
			case 7:
				delayed = append(delayed, answer{in(store.era, store.revision), store.list()})
			case 8:
				if len(delayed) > 0 {
					late := rapid.SampledFrom(delayed).Draw(t, "late")
					r.Replace(start, Configurations, late.asOf, late.objects, false)
				}
			}
			if !restarted {
				g.Expect(r.Position(Configurations).Generation.Sequence).To(BeNumerically(">=", before), "configuration went back")
				g.Expect(position.After(r.AsOf(Configurations))).To(BeFalse(), "position went back")
			}
		}
		write() // the operator writes the newest version again
		for _, r := range replicas {
			r.Replace(start, Configurations, in(store.era, store.revision), store.list(), false)
			g.Expect(r.Position(Configurations).Generation.Sequence).To(Equal(store.newest))
			_, exists, inForce := r.Stored(Configurations, "main")
			g.Expect(exists && inForce).To(BeTrue())
		}
	})
}

// Guards against a target that left before a restore and is used for good at the nodes that follow others: they hear of the
// removal of its entry, which is not in force, from a delta.
func TestWithheldEntryEndsWithItsRemovalAtFollowers(t *testing.T) {
	g := NewWithT(t)
	watcher, follower := New(), New()
	old := entry("left", in(1, 10), in(1, 3), 5, "ready")
	for _, r := range []*Replica{watcher, follower} {
		r.Replace(start, Targets, in(1, 40), []Object{old}, false)
		r.Apply(start, Targets, in(1, 45), []Event{{Object: old, Deleted: true}}, false)
	}
	copied := entry("left", in(2, 10), in(2, 3), 5, "ready")
	watcher.Replace(start, Targets, in(2, 20), []Object{copied}, false)
	follow := func() {
		delta, ok := watcher.DeltaSince(Targets, follower.Position(Targets))
		g.Expect(ok).To(BeTrue())
		follower.Merge(start, delta)
	}
	follow()
	g.Expect(follower.Objects(Targets)).To(BeEmpty())
	watcher.Apply(start, Targets, in(2, 24), []Event{{Object: copied, Deleted: true}}, false)
	follow()
	for _, r := range []*Replica{watcher, follower} {
		r.Expire(start.Add(time.Hour))
		g.Expect(r.Objects(Targets)).To(BeEmpty())
	}
}
