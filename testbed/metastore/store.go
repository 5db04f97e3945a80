package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// maxHistory is the number of changes stored for watches.
	maxHistory = 10_000
	// maxPage is the maximum number of objects in one page of a list.
	maxPage = 500
)

// Object is one stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata holds the name, the revisions and the deletion state of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"created-rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Event is a change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type change struct {
	revision uint64
	kind     string
	event    Event
}

// Store holds the objects. The zero value is not usable; use New.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era is the number of times that the store was restored.
	era     uint64
	kinds   map[string]map[string]Object
	history []change
	// compactedRevision is the last revision dropped from the history.
	compactedRevision uint64
	// changed is closed and replaced at each change, which notifies waiting watches.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Put stores a spec unconditionally, as the operator and the instances do.
func (s *Store) Put(kind, name string, spec any) Object {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test passed a value that JSON cannot represent
	}
	return s.PutRaw(kind, name, text)
}

// PutRaw stores an encoded spec unconditionally, without checking it.
func (s *Store) PutRaw(kind, name string, spec json.RawMessage) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.kinds[kind][name]
	object.Metadata.Name, object.Spec = name, spec
	return s.write(kind, object)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.kinds[kind][name]
	if ok {
		s.remove(kind, object)
	}
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	object, _, ok := s.getWithEra(kind, name)
	return object, ok
}

// getWithEra returns an object and the era in which the store had it.
func (s *Store) getWithEra(kind, name string) (object Object, era uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok = s.kinds[kind][name]
	return object, s.era, ok
}

// Copy is the state of a store at one time.
type Copy struct {
	revision, compactedRevision uint64
	kinds                       map[string]map[string]Object
	history                     []change
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, compactedRevision: s.compactedRevision, kinds: cloneKinds(s.kinds), history: slices.Clone(s.history)}
}

// Restore replaces the state by a copy, in a new era. Revisions since the copy are given out again, and
// watches from one of them fail with 410.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision = from.revision, from.compactedRevision
	s.kinds, s.history = cloneKinds(from.kinds), slices.Clone(from.history)
	s.notifyWatches()
}

// Era returns the number of times that the store was restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	clone := make(map[string]map[string]Object, len(kinds))
	for kind, objects := range kinds {
		clone[kind] = maps.Clone(objects)
	}
	return clone
}

// Compact drops the history, so that watches from earlier revisions fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// List returns the objects of a kind, sorted by name, and the store's revision.
func (s *Store) List(kind string) ([]Object, uint64) {
	objects, _, at := s.page(kind, "", math.MaxInt)
	return objects, at.revision
}

// state is the position of the store at which it was read.
type state struct{ era, revision uint64 }

// page returns at most limit objects of a kind whose names follow after, sorted by name, and
// whether there are more.
func (s *Store) page(kind, after string, limit int) (objects []Object, more bool, at state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects = []Object{}
	for name, object := range s.kinds[kind] {
		if name > after {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(a, b int) bool { return objects[a].Metadata.Name < objects[b].Metadata.Name })
	if len(objects) > limit {
		return objects[:limit], true, state{s.era, s.revision}
	}
	return objects, false, state{s.era, s.revision}
}

// changesAfter returns the changes after a revision that the history still has. The caller must
// hold the lock.
func (s *Store) changesAfter(revision uint64) []change {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	return s.history[first:]
}

// eventsAfter returns the events of a kind after a revision. The caller must hold the lock.
func (s *Store) eventsAfter(kind string, after uint64) []Event {
	events := []Event{}
	for _, c := range s.changesAfter(after) {
		if c.kind == kind {
			events = append(events, c.event)
		}
	}
	return events
}

// write stores an object. A write that changes nothing does not raise the revision and causes no
// event. The caller must hold the lock.
func (s *Store) write(kind string, object Object) Object {
	current, exists := s.kinds[kind][object.Metadata.Name]
	if exists && equalContent(current, object) {
		return current
	}
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	if object.Metadata.CreatedRev == 0 {
		object.Metadata.CreatedRev = s.revision
	}
	object.Metadata.Rev = s.revision
	s.kinds[kind][object.Metadata.Name] = object
	s.record(change{s.revision, kind, Event{Object: object}})
	return object
}

func equalContent(a, b Object) bool {
	return bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status) && slices.Equal(a.Metadata.Finalizers, b.Metadata.Finalizers)
}

func (s *Store) remove(kind string, object Object) {
	s.revision++
	delete(s.kinds[kind], object.Metadata.Name)
	s.record(change{s.revision, kind, Event{Object: object, Deleted: true}})
}

// record adds a change to the history and notifies watches. The caller must hold the lock.
func (s *Store) record(c change) {
	s.history = append(s.history, c)
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compactedRevision = s.history[excess-1].revision
		s.history = s.history[excess:]
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsSince returns the events of a kind after a revision, the store's position, and a channel
// that is closed at the next change. ok is false if the history does not cover the revision.
func (s *Store) eventsSince(kind string, from uint64) (events []Event, at state, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at = state{s.era, s.revision}
	if from < s.compactedRevision || from > s.revision {
		return nil, at, nil, false
	}
	return s.eventsAfter(kind, from), at, s.changed, true
}

// watch waits up to wait for events of a kind after a revision. ok is false if the history does
// not cover the revision.
func (s *Store) watch(ctx context.Context, kind string, from uint64, wait time.Duration) (events []Event, at state, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, at, changed, ok := s.eventsSince(kind, from)
		if !ok || len(events) > 0 {
			return events, at, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, at, true
		case <-ctx.Done():
			return events, at, true
		}
	}
}
