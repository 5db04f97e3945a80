// Package operatortest provides fakes for tests of the resource API and of its
// clients: a store in memory whose calls can be made to fail, and a backend that
// serves what is in the store.
package operatortest

import (
	"context"
	"sort"
	"sync"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// Fault is what happens to one call of the store.
type Fault int

// Faults of a call.
const (
	None Fault = iota
	// Down refuses the call with objectstore.ErrUnavailable.
	Down
	// Limited refuses the call with objectstore.ErrRateLimited.
	Limited
	// LostRequest fails a write with objectstore.ErrUnknownOutcome before it takes effect.
	LostRequest
	// LostAnswer fails a write with objectstore.ErrUnknownOutcome after it took effect.
	LostAnswer
)

// Store implements objectstore.Store in memory.
type Store struct {
	// OnCall, when set, is called before each call with its step, for example
	// "update manifest", and chooses the fault. It may call the store itself.
	OnCall func(step string) Fault

	mu      sync.Mutex
	version uint64
	objects map[string]objectstore.Object
}

var _ objectstore.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]objectstore.Object{}}
}

// Get implements objectstore.Store.
func (s *Store) Get(_ context.Context, kind, name string) (objectstore.Object, error) {
	err := s.readFault("get " + kind)
	if err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return object, failure("get "+kind, objectstore.ErrNotFound)
	}
	return object, nil
}

// List implements objectstore.Store.
func (s *Store) List(_ context.Context, kind string) ([]objectstore.Object, uint64, error) {
	err := s.readFault("list " + kind)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []objectstore.Object{}
	for _, object := range s.objects {
		if object.Kind == kind {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, s.version, nil
}

// Create implements objectstore.Store.
func (s *Store) Create(_ context.Context, kind, name string, value []byte) (uint64, error) {
	return s.write("create "+kind, objectstore.Object{Kind: kind, Name: name, Value: value}, 0)
}

// Update implements objectstore.Store.
func (s *Store) Update(_ context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	return s.write("update "+kind, objectstore.Object{Kind: kind, Name: name, Value: value}, ifVersion)
}

// Delete implements objectstore.Store.
func (s *Store) Delete(_ context.Context, kind, name string, ifVersion uint64) error {
	_, err := s.write("delete "+kind, objectstore.Object{Kind: kind, Name: name}, ifVersion)
	return err
}

// Watch implements objectstore.Store without waiting.
func (s *Store) Watch(context.Context, string, uint64) ([]objectstore.Event, uint64, error) {
	return nil, 0, failure("watch", objectstore.ErrUnavailable)
}

// VMs implements objectstore.Store without waiting.
func (s *Store) VMs(context.Context, uint64) (api.VMList, uint64, error) {
	return api.VMList{}, 0, failure("list VMs", objectstore.ErrUnavailable)
}

func (s *Store) write(step string, object objectstore.Object, ifVersion uint64) (uint64, error) {
	fault := s.fault(step)
	err := errorOf(step, fault)
	if err != nil && fault != LostAnswer {
		return 0, err
	}
	version, conflict := s.store(step, object, ifVersion)
	if err != nil {
		return 0, err
	}
	return version, conflict
}

// store applies a write; an object without a value is deleted.
func (s *Store) store(step string, object objectstore.Object, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := object.Kind + "/" + object.Name
	if s.objects[key].Version != ifVersion {
		return 0, failure(step, objectstore.ErrConflict)
	}
	s.version++
	object.Version = s.version
	s.objects[key] = object
	if object.Value == nil {
		delete(s.objects, key)
	}
	return s.version, nil
}

func (s *Store) fault(step string) Fault {
	if s.OnCall == nil {
		return None
	}
	return s.OnCall(step)
}

func (s *Store) readFault(step string) error {
	return errorOf(step, s.fault(step))
}

func errorOf(step string, fault Fault) error {
	switch fault {
	case Down:
		return failure(step, objectstore.ErrUnavailable)
	case Limited:
		return failure(step, objectstore.ErrRateLimited)
	case LostRequest, LostAnswer:
		return failure(step, objectstore.ErrUnknownOutcome)
	default:
		return nil
	}
}

func failure(step string, err error) error {
	return &objectstore.CallError{Op: step, Peer: "fake", Class: err}
}
