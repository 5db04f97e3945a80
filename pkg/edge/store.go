package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
)

// Errors of the store.
var (
	// ErrConflict means that the object has another revision or exists already.
	ErrConflict = errors.New("object was changed by someone else")
	ErrNotFound = errors.New("no such object")
	// ErrHistoryGone means that a watch cannot go on from its revision.
	ErrHistoryGone = errors.New("store forgot the changes since the revision")
)

// StoreError tells at which step a call to the store failed.
type StoreError struct {
	Step string
	Peer string
	Err  error
}

// Error implements error.
func (e *StoreError) Error() string { return fmt.Sprintf("%s at store %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// Store is the platform's metadata store.
type Store interface {
	List(ctx context.Context, kind replica.Kind) (objects []replica.Object, asOf uint64, err error)
	Watch(ctx context.Context, kind replica.Kind, from uint64, wait time.Duration) (events []replica.Event, asOf uint64, err error)
	Create(ctx context.Context, kind replica.Kind, name string, spec []byte) (replica.Object, error)
	Replace(ctx context.Context, kind replica.Kind, name string, revision uint64, spec []byte) (replica.Object, error)
	ReplaceStatus(ctx context.Context, kind replica.Kind, name string, revision uint64, status []byte) (replica.Object, error)
	Delete(ctx context.Context, kind replica.Kind, name string, revision uint64) error
}

// Codec reads and writes the documents in the store's objects.
type Codec interface {
	Configuration(object replica.Object) (*catalog.Configuration, error)
	Target(object replica.Object) (catalog.Target, error)
	Rollout(object replica.Object) (catalog.Rollout, error)
	EncodeRolloutStatus(version string, state catalog.RolloutState) ([]byte, error)
	Node(object replica.Object) (catalog.Node, error)
	EncodeNode(node catalog.Node) ([]byte, error)
	Step(object replica.Object) (catalog.Step, error)
	EncodeStep(step catalog.Step) ([]byte, error)
}
