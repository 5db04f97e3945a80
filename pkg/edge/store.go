package edge

import (
	"context"
	"time"

	"github.com/fireflychute/fireflychute/pkg/catalog"
	"github.com/fireflychute/fireflychute/pkg/replica"
	"github.com/fireflychute/fireflychute/pkg/revision"
)

// Store is the platform's metadata store. Its errors are of type *objectstore.CallError. All
// revisions that it returns are of the era in which the store answered.
type Store interface {
	// List reads all objects of a kind. asOf is the store's revision before the read.
	List(ctx context.Context, kind replica.Kind) (objects []replica.Object, asOf revision.Revision, err error)
	// ListStale reads all objects of a kind from a copy that may be some seconds old. It costs
	// the store next to nothing, so it can be called often. asOf is the revision of the newest
	// object, since the age of the copy is unknown.
	ListStale(ctx context.Context, kind replica.Kind) (objects []replica.Object, asOf revision.Revision, err error)
	// Watch waits up to the given time for changes of a kind after a revision. It returns no
	// events if nothing changed. Events of another era than that of from mean nothing.
	Watch(ctx context.Context, kind replica.Kind, from revision.Revision, wait time.Duration) (events []replica.Event, asOf revision.Revision, err error)
	// Create stores a new object and fails if it exists.
	Create(ctx context.Context, kind replica.Kind, name string, spec []byte) (replica.Object, error)
	// Replace stores a spec if the object still has the revision.
	Replace(ctx context.Context, kind replica.Kind, name string, at revision.Revision, spec []byte) (replica.Object, error)
	// ReplaceStatus stores a status if the object still has the revision.
	ReplaceStatus(ctx context.Context, kind replica.Kind, name string, at revision.Revision, status []byte) (replica.Object, error)
	// Delete removes an object if it still has the revision.
	Delete(ctx context.Context, kind replica.Kind, name string, at revision.Revision) error
}

// Codec decodes and encodes the documents in the store's objects.
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
