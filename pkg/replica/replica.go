// Package replica holds a node's copy of the platform's objects. Revisions only increase:
// delayed responses, peers that lag behind and restarted watches never replace a newer
// object. The package does no I/O; a replica belongs to the control goroutine.
package replica

import (
	"maps"
	"slices"
	"time"
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

// Object is one object of the platform. Spec and Status hold the stored bytes unchanged.
type Object struct {
	Name string
	// Revision is the store's revision of the last change, Created that of the creation.
	Revision uint64
	Created  uint64
	Spec     []byte
	Status   []byte
	// Lapsed is true if the object disappeared during an outage of the store and may return.
	Lapsed bool
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
	AsOf    uint64
	Objects []Object
	Removed []string
}

// IsEmpty reports whether a delta only advances the revision of the kind.
func (d *Delta) IsEmpty() bool { return !d.Full && len(d.Objects) == 0 && len(d.Removed) == 0 }

// tombstone records a removed object. Peers whose revision of the kind is below asOf must
// receive it; created is the revision at which the removed object was created.
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
	// compacted is the revision below which tombstones are incomplete.
	compacted uint64
	// expiry holds the time at which each lapsed object is removed.
	expiry map[string]time.Time
	// changes counts the changes of objects. ordered caches the objects sorted by name and is
	// nil after a change.
	changes uint64
	ordered []Object
}

// set stores an object unconditionally.
func (t *table) set(object Object) {
	t.objects[object.Name] = object
	t.changes++
	t.ordered = nil
}

// sorted returns the objects sorted by name.
func (t *table) sorted() []Object {
	if t.ordered == nil {
		t.ordered = make([]Object, 0, len(t.objects))
		for _, name := range slices.Sorted(maps.Keys(t.objects)) {
			t.ordered = append(t.ordered, t.objects[name])
		}
	}
	return t.ordered
}

// Replica is a copy of all kinds. The zero value is not usable; use New.
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

// IsLoaded reports whether a kind was read at least once.
func (r *Replica) IsLoaded(kind Kind) bool { return r.tables[kind].loaded }

// AsOf returns the store's revision up to which a kind is complete.
func (r *Replica) AsOf(kind Kind) uint64 { return r.tables[kind].asOf }

// Object returns one object.
func (r *Replica) Object(kind Kind, name string) (Object, bool) {
	object, ok := r.tables[kind].objects[name]
	return object, ok
}

// Objects returns the objects of a kind, ordered by name. The caller must not change them.
func (r *Replica) Objects(kind Kind) []Object { return r.tables[kind].sorted() }

// ChangeCount returns the number of changes of a kind. Data derived from the kind stay valid
// while it is unchanged.
func (r *Replica) ChangeCount(kind Kind) uint64 { return r.tables[kind].changes }

// Replace applies a list of a whole kind as of a revision; a list older than the replica is
// ignored. With lapse, missing objects lapse instead of being removed at once. It reports
// whether anything changed.
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
		// Objects created and removed since the previous revision have no tombstone in this
		// replica, so a peer that has such an object must receive the whole kind.
		t.compacted = asOf
	}
	t.loaded, t.asOf = true, asOf
	return changed
}

// Apply applies events that bring a kind up to a revision and reports whether anything
// changed. Of several events of an object only the last one counts: an object that was removed
// and created again in between exists as of that revision.
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

// Put applies one object that this node has written or read itself. It does not advance the
// revision of the kind. It reports whether the object changed.
func (r *Replica) Put(now time.Time, kind Kind, object Object) bool {
	return r.tables[kind].put(now, object)
}

// Merge applies a delta received from a peer and reports whether anything changed.
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

// DeltaSince returns the changes of a kind that a peer with the revision have lacks. loaded is
// false if the peer has not loaded the kind. ok is false if there is nothing to send.
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

// ExtendLapsed restarts the retention of all lapsed objects. It is called while the store is
// unreachable, since the objects cannot return then.
func (r *Replica) ExtendLapsed(now time.Time) {
	for kind := range r.tables {
		for name := range r.tables[kind].expiry {
			r.tables[kind].expiry[name] = now.Add(lapseRetention)
		}
	}
}

// Expire removes lapsed objects whose retention ended before the last contact with the store.
// It reports whether any was removed.
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

// put stores an object unless the replica has the same or a newer revision, or a tombstone of
// it.
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

// hasTombstone reports whether this creation of the object was removed. An object that returns
// has a later creation revision.
func (t *table) hasTombstone(object Object) bool {
	return slices.ContainsFunc(t.tombstones, func(r tombstone) bool {
		return r.name == object.Name && r.created >= object.Created
	})
}

// applyDeletion applies the store's deletion event of an object. The event may carry the
// revision of the object's last change instead of that of the deletion.
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

// lapseOrRemove marks an object as lapsed or, without lapse, removes it at once.
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

// addTombstone stores a tombstone for peers that lag behind and drops the oldest one above
// maxTombstones.
func (t *table) addTombstone(removed tombstone) {
	t.tombstones = append(t.tombstones, removed)
	if len(t.tombstones) > maxTombstones {
		t.compacted = max(t.compacted, t.tombstones[0].asOf)
		t.tombstones = slices.Delete(t.tombstones, 0, 1)
	}
}
