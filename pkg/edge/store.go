package edge

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
)

// Store is the platform's metadata store. Its errors are of type *objectstore.CallError.
type Store interface {
	// List reads all objects of a kind and the store's revision before that.
	List(ctx context.Context, kind replica.Kind) (objects []replica.Object, asOf uint64, err error)
	// ListStale reads all objects of a kind as they were up to some seconds ago. It hardly costs
	// anything, so it can be called often.
	ListStale(ctx context.Context, kind replica.Kind) ([]replica.Object, error)
	// Watch waits for changes of a kind after a revision, up to a time. It returns no
	// event when nothing changed.
	Watch(ctx context.Context, kind replica.Kind, from uint64, wait time.Duration) (events []replica.Event, asOf uint64, err error)
	// Create stores an object that must not exist.
	Create(ctx context.Context, kind replica.Kind, name string, spec []byte) (replica.Object, error)
	// Replace stores a spec if the object still has the revision.
	Replace(ctx context.Context, kind replica.Kind, name string, revision uint64, spec []byte) (replica.Object, error)
	// ReplaceStatus stores a status if the object still has the revision.
	ReplaceStatus(ctx context.Context, kind replica.Kind, name string, revision uint64, status []byte) (replica.Object, error)
	// Delete removes an object if it still has the revision.
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
