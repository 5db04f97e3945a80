package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/revision"
)

// tombstone records a removed object. Peers whose revision of the kind is below asOf must
// receive it; created is the revision at which the removed object was created.
type tombstone struct {
	name       string
	asOf       revision.Revision
	created    revision.Revision
	generation Generation
}

// table is the copy of one kind.
type table struct {
	kind       Kind
	loaded     bool
	asOf       revision.Revision
	objects    map[string]Object
	tombstones []tombstone
	// compacted is the revision below which tombstones are incomplete.
	compacted revision.Revision
	// expiry holds the time at which each lapsed object is removed.
	expiry map[string]time.Time
	// withheld holds the store's objects that are not in force.
	withheld map[string]withheldObject
	// changes counts the changes of objects. ordered caches the objects sorted by name and is
	// nil after a change.
	changes uint64
	ordered []Object
}

func newTable(kind Kind) table {
	return table{kind: kind, objects: map[string]Object{}, expiry: map[string]time.Time{}, withheld: map[string]withheldObject{}}
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

// origin is where an object comes from.
type origin int

const (
	// write is a change that was made in the replica's era, or an object that a node has read.
	write origin = iota
	// list is a list of the replica's era, or one of a new era from a peer, which has told apart
	// what the copy held and what was written since.
	list
	// copyOfNewEra is the store's first list of a new era. What it holds may be older than what is
	// known.
	copyOfNewEra
)

// put stores an object unless the replica has the same or a newer one, or a tombstone of it, or
// the object contradicts what is known from an earlier era.
func (t *table) put(now time.Time, object Object, from origin) bool {
	if object.Withheld {
		t.withhold(now, object)
		return false
	}
	current, exists := t.objects[object.Name]
	switch {
	case !exists && t.hasTombstone(object):
		return false
	case !exists && t.wasRemovedBefore(object, from):
		t.withhold(now, object)
		return false
	case exists && !t.supersedes(now, object, current, from):
		return false
	}
	t.set(object)
	delete(t.expiry, object.Name)
	delete(t.withheld, object.Name)
	if object.Lapsed {
		t.expiry[object.Name] = now.Add(lapseRetention)
	}
	return true
}

// hasTombstone reports whether this creation of the object was removed. An object that returns
// has a later creation revision.
func (t *table) hasTombstone(object Object) bool {
	return slices.ContainsFunc(t.tombstones, func(r tombstone) bool {
		return r.name == object.Name && !object.Created.After(r.created)
	})
}

// applyDeletion applies the store's deletion event of an object. The event may carry the
// revision of the object's last change instead of that of the deletion.
func (t *table) applyDeletion(now time.Time, object Object, asOf revision.Revision, lapse bool) bool {
	delete(t.withheld, object.Name)
	current, exists := t.objects[object.Name]
	if !exists {
		t.addTombstone(tombstone{object.Name, asOf, object.Created, object.Generation})
		return false
	}
	if current.Created.After(object.Revision) {
		return false
	}
	return t.lapseOrRemove(now, object.Name, asOf, lapse)
}

// lapseOrRemove marks an object as lapsed or, without lapse, removes it at once.
func (t *table) lapseOrRemove(now time.Time, name string, asOf revision.Revision, lapse bool) bool {
	if !lapse {
		return t.remove(name, asOf)
	}
	object := t.objects[name]
	if object.Lapsed {
		return false
	}
	object.Lapsed, object.Revision = true, revision.Max(asOf, object.Revision)
	t.set(object)
	t.expiry[name] = now.Add(lapseRetention)
	return true
}

func (t *table) remove(name string, asOf revision.Revision) bool {
	current, exists := t.objects[name]
	if !exists {
		return false
	}
	delete(t.objects, name)
	t.changes++
	t.ordered = nil
	delete(t.expiry, name)
	t.addTombstone(tombstone{name, asOf, current.Created, current.Generation})
	return true
}

// addTombstone stores a tombstone for peers that lag behind and drops the oldest one above
// maxTombstones.
func (t *table) addTombstone(removed tombstone) {
	t.tombstones = append(t.tombstones, removed)
	if len(t.tombstones) > maxTombstones {
		t.compacted = revision.Max(t.compacted, t.tombstones[0].asOf)
		t.tombstones = slices.Delete(t.tombstones, 0, 1)
	}
}
