package platform

import (
	"errors"
	"sort"
	"sync"

	client "github.com/fireflychute/fireflychute/pkg/platform"
)

// maxValueBytes is the largest value that the platform holds.
const maxValueBytes = 1 << 20

// maxHistory is the number of events kept for watches.
const maxHistory = 10_000

var (
	errNotFound = errors.New("not found")
	errConflict = errors.New("version does not match")
	errTooLarge = errors.New("value larger than 1 MB")
	errExpired  = errors.New("version too old to watch from")
)

type key struct {
	kind string
	name string
}

// store holds the objects and the history of their changes.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[key]client.Object
	history []client.Event
	// forgotten is the newest version whose event is no longer kept.
	forgotten uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[key]client.Object{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (client.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return client.Object{}, errNotFound
	}
	return object, nil
}

func (s *store) list(kind string) ([]client.Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []client.Object{}
	for k, object := range s.objects {
		if k.kind == kind {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, s.version
}

// put writes an object. ifVersion 0 demands that it does not exist.
func (s *store) put(kind, name string, value []byte, ifVersion uint64) (client.Object, error) {
	if len(value) > maxValueBytes {
		return client.Object{}, errTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key{kind, name}].Version != ifVersion {
		return client.Object{}, errConflict
	}
	s.version++
	object := client.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	s.objects[key{kind, name}] = object
	s.record(client.Event{Object: object})
	return object, nil
}

func (s *store) remove(kind, name string, ifVersion uint64) (client.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key{kind, name}]
	if !ok {
		return client.Object{}, errNotFound
	}
	if object.Version != ifVersion {
		return client.Object{}, errConflict
	}
	s.version++
	delete(s.objects, key{kind, name})
	gone := client.Object{Kind: kind, Name: name, Version: s.version}
	s.record(client.Event{Object: gone, Deleted: true})
	return gone, nil
}

func (s *store) record(event client.Event) {
	s.history = append(s.history, event)
	s.forget(max(0, len(s.history)-maxHistory))
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the oldest events. It is called with the lock held.
func (s *store) forget(count int) {
	if count == 0 {
		return
	}
	s.forgotten = s.history[count-1].Object.Version
	s.history = s.history[count:]
}

// since returns the events of a kind after a version, the version reached, and
// a channel that is closed at the next change.
func (s *store) since(kind string, after uint64) ([]client.Event, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return nil, s.version, s.changed, errExpired
	}
	found := []client.Event{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Object.Version > after })
	for _, event := range s.history[first:] {
		if event.Object.Kind == kind {
			found = append(found, event)
		}
	}
	return found, s.version, s.changed, nil
}
