// Package replica keeps a node's copy of the platform's objects. It only moves
// forward: late answers, old peers and restarted watches never replace a newer
// object. It does no I/O and belongs to the control goroutine.
package replica

import (
	"maps"
	"slices"
	"time"
)

// Kind is a kind of objects.
type Kind int

// The kinds that a node keeps.
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
	// lapseRetention is how long an object is kept that disappeared while the store was
	// away. Instances that live register again within about two seconds.
	lapseRetention = 2500 * time.Millisecond
	// maxTombstones bounds the removals that are kept for peers that lag behind; a
	// peer that lags further receives the whole kind.
	maxTombstones = 1024
)

// Object is one object of the platform. Spec and Status are as they were written.
type Object struct {
	Name string
	// Revision is the store's revision of the last change, Created that of the creation.
	Revision uint64
	Created  uint64
	Spec     []byte
	Status   []byte
	// Lapsed objects disappeared while the store was away and may come back.
	Lapsed bool
}

// Event is a change of one object.
type Event struct {
	Object  Object
	Deleted bool
}

// Delta is what changed in a kind. A full delta is the whole kind.
type Delta struct {
	Kind    Kind
	Full    bool
	AsOf    uint64
	Objects []Object
	Removed []string
}

// IsEmpty tells whether a delta only moves the revision up to which the kind is known.
func (d *Delta) IsEmpty() bool { return !d.Full && len(d.Objects) == 0 && len(d.Removed) == 0 }

// tombstone is a removed object. Peers that know the kind up to a lower revision
// than asOf have to be told; created is when the removed object had been created.
type tombstone struct {
	name    string
	asOf    uint64
	created uint64
}

type table struct {
	loaded     bool
	asOf       uint64
	objects    map[string]Object
	tombstones []tombstone
	// compacted is the revision before which removals are not known any more.
	compacted uint64
	// expiry is when lapsed objects are removed.
	expiry map[string]time.Time
	// changes counts the changes of objects; ordered are the objects by name, nil after a
	// change.
	changes uint64
	ordered []Object
}

// set stores an object.
func (t *table) set(object Object) {
	t.objects[object.Name] = object
	t.changes++
	t.ordered = nil
}

// sorted returns the objects by name.
func (t *table) sorted() []Object {
	if t.ordered == nil {
		t.ordered = make([]Object, 0, len(t.objects))
		for _, name := range slices.Sorted(maps.Keys(t.objects)) {
			t.ordered = append(t.ordered, t.objects[name])
		}
	}
	return t.ordered
}

// Replica is the copy. The zero value is not usable; use New.
type Replica struct {
	tables [kindCount]table
}

// New returns an empty replica.
func New() *Replica {
	r := &Replica{}
	for kind := range r.tables {
		r.tables[kind].objects = map[string]Object{}
		r.tables[kind].expiry = map[string]time.Time{}
	}
	return r
}

// IsLoaded tells whether a kind was read at least once.
func (r *Replica) IsLoaded(kind Kind) bool { return r.tables[kind].loaded }

// AsOf returns the store's revision up to which a kind is known.
func (r *Replica) AsOf(kind Kind) uint64 { return r.tables[kind].asOf }

// Object returns one object.
func (r *Replica) Object(kind Kind, name string) (Object, bool) {
	object, ok := r.tables[kind].objects[name]
	return object, ok
}

// Objects returns the objects of a kind, ordered by name. The caller must not change them.
func (r *Replica) Objects(kind Kind) []Object { return r.tables[kind].sorted() }

// ChangeCount counts the changes of a kind, so that what was derived from it can be kept.
func (r *Replica) ChangeCount(kind Kind) uint64 { return r.tables[kind].changes }

// Replace takes in a list of a whole kind, as of a revision. With lapse, objects
// that are missing lapse instead of being removed at once. It returns whether
// anything changed.
func (r *Replica) Replace(now time.Time, kind Kind, asOf uint64, objects []Object, lapse bool) bool {
	t := &r.tables[kind]
	if t.loaded && asOf < t.asOf {
		return false
	}
	changed := !t.loaded
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Name] = true
		changed = t.put(now, object) || changed
	}
	for name, object := range t.objects {
		if !listed[name] && object.Revision <= asOf {
			changed = t.lapseOrRemove(now, name, asOf, lapse) || changed
		}
	}
	if asOf > t.asOf || !t.loaded {
		// What was created and removed since the last look was never seen here, so a
		// peer that saw its creation has to receive the whole kind.
		t.compacted = asOf
	}
	t.loaded, t.asOf = true, asOf
	return changed
}

// Apply takes in events that bring a kind up to a revision. Of several events of an object
// only the last counts: one that was removed and created anew meanwhile is there as of
// that revision.
func (r *Replica) Apply(now time.Time, kind Kind, asOf uint64, events []Event, lapse bool) bool {
	t := &r.tables[kind]
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
		changed = t.put(now, event.Object) || changed
	}
	t.asOf = max(t.asOf, asOf)
	return changed
}

// Put takes in one object that this node has written or read by itself. It does
// not move the revision up to which the kind is known.
func (r *Replica) Put(now time.Time, kind Kind, object Object) bool {
	return r.tables[kind].put(now, object)
}

// Merge takes in what a peer sent.
func (r *Replica) Merge(now time.Time, delta Delta) bool {
	t := &r.tables[delta.Kind]
	if delta.Full {
		return r.Replace(now, delta.Kind, delta.AsOf, delta.Objects, false)
	}
	changed := false
	for _, object := range delta.Objects {
		changed = t.put(now, object) || changed
	}
	for _, name := range delta.Removed {
		current, exists := t.objects[name]
		switch {
		case !exists:
			t.addTombstone(tombstone{name: name, asOf: delta.AsOf})
		case current.Revision <= delta.AsOf:
			changed = t.remove(name, delta.AsOf) || changed
		}
	}
	t.asOf = max(t.asOf, delta.AsOf)
	return changed
}

// DeltaSince returns what a peer lacks that knows a kind up to a revision. ok is false
// when there is nothing to send.
func (r *Replica) DeltaSince(kind Kind, have uint64, loaded bool) (delta Delta, ok bool) {
	t := &r.tables[kind]
	if !t.loaded || loaded && have >= t.asOf {
		return Delta{}, false
	}
	delta = Delta{Kind: kind, AsOf: t.asOf, Full: !loaded || have < t.compacted}
	for _, object := range r.Objects(kind) {
		if delta.Full || object.Revision > have {
			delta.Objects = append(delta.Objects, object)
		}
	}
	for _, removed := range t.tombstones {
		_, recreated := t.objects[removed.name]
		if !delta.Full && !recreated && removed.asOf > have {
			delta.Removed = append(delta.Removed, removed.name)
		}
	}
	return delta, true
}

// ExtendLapsed begins anew the time for which lapsed objects are kept. While the store is away
// they cannot come back.
func (r *Replica) ExtendLapsed(now time.Time) {
	for kind := range r.tables {
		for name := range r.tables[kind].expiry {
			r.tables[kind].expiry[name] = now.Add(lapseRetention)
		}
	}
}

// Expire removes lapsed objects whose time was over when the store was last heard from.
func (r *Replica) Expire(storeSeenAt time.Time) bool {
	changed := false
	for kind := range r.tables {
		t := &r.tables[kind]
		for name, expiresAt := range t.expiry {
			if !storeSeenAt.Before(expiresAt) {
				changed = t.remove(name, t.asOf) || changed
			}
		}
	}
	return changed
}

func (t *table) put(now time.Time, object Object) bool {
	current, exists := t.objects[object.Name]
	if exists && current.Revision >= object.Revision {
		return false
	}
	if !exists && t.hasTombstone(object) {
		return false
	}
	t.set(object)
	delete(t.expiry, object.Name)
	if object.Lapsed {
		t.expiry[object.Name] = now.Add(lapseRetention)
	}
	return true
}

// hasTombstone tells whether the object, as it was created then, is known to be gone.
// An entry that comes back was created anew.
func (t *table) hasTombstone(object Object) bool {
	return slices.ContainsFunc(t.tombstones, func(r tombstone) bool {
		return r.name == object.Name && r.created >= object.Created
	})
}

// applyDeletion follows the store's report that an object is gone. The report may carry
// the revision of the object's last change in place of that of the removal.
func (t *table) applyDeletion(now time.Time, object Object, asOf uint64, lapse bool) bool {
	current, exists := t.objects[object.Name]
	if !exists {
		t.addTombstone(tombstone{object.Name, asOf, object.Created})
		return false
	}
	if current.Created > object.Revision {
		return false
	}
	return t.lapseOrRemove(now, object.Name, asOf, lapse)
}

func (t *table) lapseOrRemove(now time.Time, name string, revision uint64, lapse bool) bool {
	if !lapse {
		return t.remove(name, revision)
	}
	object := t.objects[name]
	if object.Lapsed {
		return false
	}
	object.Lapsed, object.Revision = true, max(revision, object.Revision)
	t.set(object)
	t.expiry[name] = now.Add(lapseRetention)
	return true
}

func (t *table) remove(name string, asOf uint64) bool {
	current, exists := t.objects[name]
	if !exists {
		return false
	}
	delete(t.objects, name)
	t.changes++
	t.ordered = nil
	delete(t.expiry, name)
	t.addTombstone(tombstone{name, asOf, current.Created})
	return true
}

// addTombstone keeps a removal for peers that lag behind.
func (t *table) addTombstone(removed tombstone) {
	t.tombstones = append(t.tombstones, removed)
	if len(t.tombstones) > maxTombstones {
		t.compacted = max(t.compacted, t.tombstones[0].asOf)
		t.tombstones = slices.Delete(t.tombstones, 0, 1)
	}
}
