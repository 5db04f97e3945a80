package replica

import (
	"bytes"
	"slices"
	"time"

	"github.com/fireflychute/fireflychute/pkg/revision"
)

// When the store comes back from an older copy, in a new era, neither what the copy holds nor what
// it lacks shows a change. What nodes know from the era before stays in force until the one
// who writes the object has written it again, or for as long as that takes at most:
//
//   - an object that its writer counts (Generation) is replaced only by the same or a newer state
//   - another object that the copy has in another state is replaced by the first write of the new era, or
//     after contradictionTime
//   - an object that the copy lacks lapses; configurations and the system's own steps stay
//   - an object that was removed before and is in the copy is used again after a write of the new era, or
//     after removalDoubtTime, within which the store removes the entry of an instance that does not exist
const (
	contradictionTime = lapseRetention
	removalDoubtTime  = 7 * time.Second
)

// withheldObject is an object of the store that is not in force.
type withheldObject struct {
	Object
	// releasedAt is when the object takes effect if the store still has it then; zero for never.
	releasedAt time.Time
}

// outlivesCopies reports whether objects of the kind stay in force although the copy lacks them or has
// them in an older state, for as long as nobody writes them anew.
func (k Kind) outlivesCopies() bool { return k == Configurations || k == Steps }

// supersedes reports whether an object replaces the current one. A newer object of the store that does
// not, because it is older by its writer's count or contradicts what is known, is withheld.
func (t *table) supersedes(now time.Time, object, current Object, from origin) bool {
	newer := object.Revision.After(current.Revision)
	order := 0
	if isCounted(object, current) && (t.kind.outlivesCopies() || !object.Revision.SameEra(current.Revision)) {
		order = object.Generation.compare(current.Generation)
	}
	switch {
	case order > 0:
		return true
	case order < 0, order == 0 && contradicts(object, current, from):
		if newer {
			t.withhold(now, object)
		}
		return false
	default:
		return newer
	}
}

func isCounted(a, b Object) bool { return !a.Generation.isZero() && !b.Generation.isZero() }

// contradicts reports whether an object of a new era's copy differs from what is known.
func contradicts(object, current Object, from origin) bool {
	isSame := bytes.Equal(object.Spec, current.Spec) && bytes.Equal(object.Status, current.Status)
	return from == copyOfNewEra && object.Revision.EraAfter(current.Revision) && !isSame
}

// wasRemovedBefore reports whether an object of the copy was removed in an earlier era.
func (t *table) wasRemovedBefore(object Object, from origin) bool {
	if from == write {
		return false
	}
	return slices.ContainsFunc(t.tombstones, func(removed tombstone) bool {
		isOfNewStart := object.Generation.Incarnation > removed.generation.Incarnation
		return removed.name == object.Name && object.Created.EraAfter(removed.created) && !isOfNewStart
	})
}

// withhold records an object of the store that is not in force.
func (t *table) withhold(now time.Time, object Object) {
	current, exists := t.objects[object.Name]
	if exists && !object.Revision.After(current.Revision) {
		return
	}
	releasedAt := now.Add(contradictionTime)
	switch {
	case t.kind.outlivesCopies():
		releasedAt = time.Time{}
	case !exists || t.kind == Targets:
		releasedAt = now.Add(removalDoubtTime)
	}
	if earlier, isKnown := t.withheld[object.Name]; isKnown {
		releasedAt = earlier.releasedAt
	}
	object.Withheld = false
	t.withheld[object.Name] = withheldObject{object, releasedAt}
}

// release puts the withheld objects in force whose time has come. It reports whether there were any.
func (t *table) release(storeSeenAt time.Time) bool {
	changed := false
	for name, held := range t.withheld {
		if held.releasedAt.IsZero() || storeSeenAt.Before(held.releasedAt) {
			continue
		}
		delete(t.withheld, name)
		t.set(held.Object)
		changed = true
	}
	return changed
}

// disappear handles an object that a list lacks.
func (t *table) disappear(now time.Time, name string, asOf revision.Revision, lapse bool) bool {
	if t.kind.outlivesCopies() && asOf.EraAfter(t.objects[name].Revision) {
		return false
	}
	return t.lapseOrRemove(now, name, asOf, lapse)
}

// putNewerGenerations applies the objects of an older era that are newer by their writer's count.
func (t *table) putNewerGenerations(now time.Time, objects []Object) bool {
	changed := false
	for _, object := range objects {
		current, exists := t.objects[object.Name]
		if t.kind == Configurations && exists && !object.Withheld && object.Generation.compare(current.Generation) > 0 {
			changed = t.put(now, object, write) || changed
		}
	}
	return changed
}

// newestGeneration returns the newest generation of the objects in force.
func (t *table) newestGeneration() Generation {
	var newest Generation
	if t.kind != Configurations {
		return newest
	}
	for _, object := range t.objects {
		if object.Generation.compare(newest) > 0 {
			newest = object.Generation
		}
	}
	return newest
}
