// Package replica holds a node's copy of the platform's objects. Revisions only increase:
// delayed responses, peers that lag behind and restarted watches never replace a newer
// object. A store that comes back from an older copy, in a new era, does not take back what
// is known from the era before. The package does no I/O; a replica belongs to the control
// goroutine.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/revision"
)

// Kind is a kind of object.
type Kind int

// The kinds that a node replicates.
const (
	Configurations Kind = iota
	Targets
	Rollouts
	Evacuations
	Nodes
	Steps
	kindCount
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Configurations, Targets, Rollouts, Evacuations, Nodes, Steps}
}

const (
	// lapseRetention is how long an object that disappeared during an outage of the store is
	// retained. Live instances register again within about two seconds.
	lapseRetention = 2500 * time.Millisecond
	// maxTombstones limits the tombstones of a kind. They serve peers that lag behind; a peer
	// that lags further receives the whole kind.
	maxTombstones = 1024
)

// Generation orders the states of an object by the count of the one who writes it, whatever the
// store's revisions are. The zero value is that of objects whose writer does not count.
type Generation struct {
	// Incarnation is raised by each start of the writer, Sequence by each write.
	Incarnation, Sequence uint64
}

// compare returns a negative number if g is older than other, and a positive one if it is newer.
func (g Generation) compare(other Generation) int {
	return cmp.Or(cmp.Compare(g.Incarnation, other.Incarnation), cmp.Compare(g.Sequence, other.Sequence))
}

func (g Generation) isZero() bool { return g == Generation{} }

// Object is one object of the platform. Spec and Status hold the stored bytes unchanged.
type Object struct {
	Name string
	// Revision is the store's revision of the last change, Created that of the creation.
	Revision   revision.Revision
	Created    revision.Revision
	Generation Generation
	Spec       []byte
	Status     []byte
	// Lapsed is true if the object disappeared during an outage of the store and may return.
	Lapsed bool
	// Withheld is true in deltas if the object is in the store but not in force, because it
	// contradicts what is known from an earlier era.
	Withheld bool
}

// Event is a change of one object.
type Event struct {
	Object  Object
	Deleted bool
}

// Delta holds the changes of a kind up to the revision AsOf. A full delta holds the whole
// kind.
type Delta struct {
	Kind    Kind
	Full    bool
	AsOf    revision.Revision
	Objects []Object
	Removed []string
}

// IsEmpty reports whether a delta only advances the revision of the kind.
func (d *Delta) IsEmpty() bool { return !d.Full && len(d.Objects) == 0 && len(d.Removed) == 0 }

// Position is how far a replica has received a kind.
type Position struct {
	Loaded bool
	AsOf   revision.Revision
	// Generation is the newest one of the configuration.
	Generation Generation
}

// Replica is a copy of all kinds. The zero value is not usable; use New.
type Replica struct {
	tables [kindCount]table
}

// New returns an empty replica.
func New() *Replica {
	r := &Replica{}
	for kind := range r.tables {
		r.tables[kind] = newTable(Kind(kind))
	}
	return r
}

// IsLoaded reports whether a kind was read at least once.
func (r *Replica) IsLoaded(kind Kind) bool { return r.tables[kind].loaded }

// AsOf returns the store's revision up to which a kind is complete.
func (r *Replica) AsOf(kind Kind) revision.Revision { return r.tables[kind].asOf }

// Position returns how far a kind was received.
func (r *Replica) Position(kind Kind) Position {
	t := &r.tables[kind]
	return Position{Loaded: t.loaded, AsOf: t.asOf, Generation: t.newestGeneration()}
}

// Object returns one object that is in force.
func (r *Replica) Object(kind Kind, name string) (Object, bool) {
	object, ok := r.tables[kind].objects[name]
	return object, ok
}

// Stored returns an object as the store has it, for conditional writes, and whether that is
// the object in force. exists is false if the store does not have it.
func (r *Replica) Stored(kind Kind, name string) (object Object, exists, inForce bool) {
	t := &r.tables[kind]
	if withheld, ok := t.withheld[name]; ok {
		return withheld.Object, true, false
	}
	object, exists = t.objects[name]
	if !exists || object.Lapsed || t.asOf.EraAfter(object.Revision) {
		return Object{}, false, false
	}
	return object, true, true
}

// Objects returns the objects of a kind that are in force, ordered by name. The caller must not
// change them.
func (r *Replica) Objects(kind Kind) []Object { return r.tables[kind].sorted() }

// ChangeCount returns the number of changes of a kind. Data derived from the kind stay valid
// while it is unchanged.
func (r *Replica) ChangeCount(kind Kind) uint64 { return r.tables[kind].changes }

// Replace applies a list of a whole kind as of a revision; a list older than the replica is
// ignored. With lapse, missing objects lapse instead of being removed at once. In a list of a
// new era, they always do: the copy may be older than they are. It reports whether anything
// changed.
func (r *Replica) Replace(now time.Time, kind Kind, asOf revision.Revision, objects []Object, lapse bool) bool {
	return r.replace(now, kind, asOf, objects, lapse, copyOfNewEra)
}

// replace applies a list. ofNewEra is the origin of its objects if it is of a new era.
func (r *Replica) replace(now time.Time, kind Kind, asOf revision.Revision, objects []Object, lapse bool, ofNewEra origin) bool {
	t := &r.tables[kind]
	if t.loaded && t.asOf.After(asOf) {
		return false
	}
	changed := !t.loaded
	from := list
	if t.loaded && asOf.EraAfter(t.asOf) {
		from, lapse = ofNewEra, true
		t.withheld = map[string]withheldObject{}
	}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Name] = true
		changed = t.put(now, object, from) || changed
	}
	for name, object := range t.objects {
		if !listed[name] && !object.Revision.After(asOf) {
			changed = t.disappear(now, name, asOf, lapse) || changed
		}
	}
	maps.DeleteFunc(t.withheld, func(name string, _ withheldObject) bool { return !listed[name] })
	if asOf.After(t.asOf) || !t.loaded {
		// Objects created and removed since the previous revision have no tombstone in this
		// replica, so a peer that has such an object must receive the whole kind.
		t.compacted = asOf
	}
	t.loaded, t.asOf = true, asOf
	return changed
}

// Apply applies events that bring a kind up to a revision and reports whether anything
// changed. Of several events of an object only the last one counts: an object that was removed
// and created again in between exists as of that revision. Events of another era than the
// replica's are ignored: what the era changed besides is in a list only.
func (r *Replica) Apply(now time.Time, kind Kind, asOf revision.Revision, events []Event, lapse bool) bool {
	t := &r.tables[kind]
	if !asOf.SameEra(t.asOf) {
		return false
	}
	last := make(map[string]int, len(events))
	for i, event := range events {
		last[event.Object.Name] = i
	}
	changed := false
	for i, event := range events {
		if last[event.Object.Name] != i {
			continue
		}
		if event.Deleted {
			changed = t.applyDeletion(now, event.Object, asOf, lapse) || changed
			continue
		}
		changed = t.put(now, event.Object, write) || changed
	}
	t.asOf = revision.Max(t.asOf, asOf)
	return changed
}

// Put applies one object that this node has written or read itself. It does not advance the
// revision of the kind. It reports whether the object changed.
func (r *Replica) Put(now time.Time, kind Kind, object Object) bool {
	t := &r.tables[kind]
	if t.loaded && object.Revision.EraAfter(t.asOf) {
		return false // the list of the new era brings it, and what else has changed
	}
	return t.put(now, object, write)
}

// Merge applies a delta received from a peer and reports whether anything changed. A delta of an
// older era brings only what its writer orders itself.
func (r *Replica) Merge(now time.Time, delta Delta) bool {
	t := &r.tables[delta.Kind]
	switch {
	case t.loaded && t.asOf.EraAfter(delta.AsOf):
		return t.putNewerGenerations(now, delta.Objects)
	case delta.Full:
		return r.replace(now, delta.Kind, delta.AsOf, delta.Objects, false, list)
	case !delta.AsOf.SameEra(t.asOf):
		return false // only a full delta brings a new era
	}
	changed := false
	for _, object := range delta.Objects {
		changed = t.put(now, object, write) || changed
	}
	for _, name := range delta.Removed {
		delete(t.withheld, name)
		current, exists := t.objects[name]
		switch {
		case !exists:
			t.addTombstone(tombstone{name: name, asOf: delta.AsOf})
		case !current.Revision.After(delta.AsOf):
			changed = t.remove(name, delta.AsOf) || changed
		}
	}
	t.asOf = revision.Max(t.asOf, delta.AsOf)
	return changed
}

// DeltaSince returns the changes of a kind that a peer at a position lacks. ok is false if there
// is nothing to send.
func (r *Replica) DeltaSince(kind Kind, have Position) (delta Delta, ok bool) {
	t := &r.tables[kind]
	lagsBehind := t.asOf.After(have.AsOf)
	newer := kind == Configurations && t.newestGeneration().compare(have.Generation) > 0
	if !t.loaded || have.Loaded && !lagsBehind && !newer {
		return Delta{}, false
	}
	delta = Delta{Kind: kind, AsOf: t.asOf, Full: lagsBehind && t.compacted.After(have.AsOf) || !have.Loaded}
	for _, object := range r.Objects(kind) {
		if delta.Full || newer || object.Revision.After(have.AsOf) {
			delta.Objects = append(delta.Objects, object)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.withheld)) {
		if object := t.withheld[name].Object; delta.Full || object.Revision.After(have.AsOf) {
			object.Withheld = true
			delta.Objects = append(delta.Objects, object)
		}
	}
	for _, removed := range t.tombstones {
		_, recreated := t.objects[removed.name]
		if !delta.Full && !recreated && removed.asOf.After(have.AsOf) {
			delta.Removed = append(delta.Removed, removed.name)
		}
	}
	return delta, true
}

// ExtendLapsed restarts the retention of all lapsed objects. It is called while the store is
// unreachable, since the objects cannot return then.
func (r *Replica) ExtendLapsed(now time.Time) {
	for kind := range r.tables {
		for name := range r.tables[kind].expiry {
			r.tables[kind].expiry[name] = now.Add(lapseRetention)
		}
	}
}

// Expire removes lapsed objects whose retention ended before the last contact with the store, and
// puts withheld objects in force that the store still has. It reports whether anything changed.
func (r *Replica) Expire(storeSeenAt time.Time) bool {
	changed := false
	for kind := range r.tables {
		t := &r.tables[kind]
		for name, expiresAt := range t.expiry {
			if !storeSeenAt.Before(expiresAt) {
				changed = t.remove(name, t.asOf) || changed
			}
		}
		changed = t.release(storeSeenAt) || changed
	}
	return changed
}
