package metastore

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// maxHistory is the number of changes kept for watches.
	maxHistory = 10_000
	// maxPage is the number of objects in one answer to a list call.
	maxPage = 500
)

// Object is one stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata names an object and its revisions.
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
	kinds    map[string]map[string]Object
	history  []change
	// compactedRevision is the revision up to which the history was dropped.
	compactedRevision uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Put stores a spec without a condition, as the operator and the instances do.
func (s *Store) Put(kind, name string, spec any) Object {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test passed a value that JSON cannot hold
	}
	return s.PutRaw(kind, name, text)
}

// PutRaw stores a spec as it is.
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
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.kinds[kind][name]
	return object, ok
}

// Compact drops the history, so that watches from earlier revisions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// List returns the objects of a kind by name, and the store's revision.
func (s *Store) List(kind string) ([]Object, uint64) {
	objects, _, revision := s.page(kind, "", math.MaxInt)
	return objects, revision
}

// page returns the objects of a kind after a name, limit of them at most, and whether
// there are more.
func (s *Store) page(kind, after string, limit int) (objects []Object, more bool, revision uint64) {
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
		return objects[:limit], true, s.revision
	}
	return objects, false, s.revision
}

// changesAfter returns the changes after a revision that are still kept; the caller holds the
// lock.
func (s *Store) changesAfter(revision uint64) []change {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > revision })
	return s.history[first:]
}

// eventsAfter reads the history; the caller holds the lock.
func (s *Store) eventsAfter(kind string, after uint64) []Event {
	events := []Event{}
	for _, c := range s.changesAfter(after) {
		if c.kind == kind {
			events = append(events, c.event)
		}
	}
	return events
}

// write writes an object; the caller holds the lock. A write that changes nothing
// leaves the revision and is no event.
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

// record adds a change to the history; the caller holds the lock.
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

// eventsSince returns the events of a kind after a revision; ok is false when the history
// does not reach back so far.
func (s *Store) eventsSince(kind string, from uint64) (events []Event, revision uint64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compactedRevision {
		return nil, 0, nil, false
	}
	return s.eventsAfter(kind, from), s.revision, s.changed, true
}

// watch waits for events of a kind.
func (s *Store) watch(ctx context.Context, kind string, from uint64, wait time.Duration) (events []Event, revision uint64, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, ok := s.eventsSince(kind, from)
		if !ok || len(events) > 0 {
			return events, revision, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return events, revision, true
		case <-ctx.Done():
			return events, revision, true
		}
	}
}
