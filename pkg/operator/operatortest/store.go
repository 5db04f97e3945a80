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
	// RateLimited refuses the call with objectstore.ErrRateLimited.
	RateLimited
	// LostRequest fails a write with objectstore.ErrUnknownOutcome before it takes effect.
	LostRequest
	// LostResponse fails a write with objectstore.ErrUnknownOutcome after it took effect.
	LostResponse
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
	err := s.readError("get " + kind)
	if err != nil {
		return objectstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return object, newCallError("get "+kind, objectstore.ErrNotFound)
	}
	return object, nil
}

// List implements objectstore.Store.
func (s *Store) List(_ context.Context, kind string) ([]objectstore.Object, uint64, error) {
	err := s.readError("list " + kind)
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
	return nil, 0, newCallError("watch", objectstore.ErrUnavailable)
}

// VMs implements objectstore.Store without waiting.
func (s *Store) VMs(context.Context, uint64) (api.VMList, uint64, error) {
	return api.VMList{}, 0, newCallError("list VMs", objectstore.ErrUnavailable)
}

func (s *Store) write(step string, object objectstore.Object, ifVersion uint64) (uint64, error) {
	fault := s.nextFault(step)
	err := faultError(step, fault)
	if err != nil && fault != LostResponse {
		return 0, err
	}
	version, conflict := s.applyWrite(step, object, ifVersion)
	if err != nil {
		return 0, err
	}
	return version, conflict
}

// applyWrite applies a write; an object without a value is deleted.
func (s *Store) applyWrite(step string, object objectstore.Object, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := object.Kind + "/" + object.Name
	if s.objects[key].Version != ifVersion {
		return 0, newCallError(step, objectstore.ErrConflict)
	}
	s.version++
	object.Version = s.version
	s.objects[key] = object
	if object.Value == nil {
		delete(s.objects, key)
	}
	return s.version, nil
}

func (s *Store) nextFault(step string) Fault {
	if s.OnCall == nil {
		return None
	}
	return s.OnCall(step)
}

func (s *Store) readError(step string) error {
	return faultError(step, s.nextFault(step))
}

func faultError(step string, fault Fault) error {
	switch fault {
	case Down:
		return newCallError(step, objectstore.ErrUnavailable)
	case RateLimited:
		return newCallError(step, objectstore.ErrRateLimited)
	case LostRequest, LostResponse:
		return newCallError(step, objectstore.ErrUnknownOutcome)
	default:
		return nil
	}
}

func newCallError(step string, err error) error {
	return &objectstore.CallError{Op: step, Peer: "fake", Class: err}
}
