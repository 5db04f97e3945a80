package objectstore

import (
	"context"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Kinds of the objects that the system stores at the platform.
const (
	KindManifest         = "manifest"
	KindBlob             = "blob"
	KindLease            = "lease"
	KindRolloutStatus    = "rolloutstatus"
	KindDataCentreStatus = "datacentrestatus"
	KindFleetStatus      = "fleetstatus"
	KindRequest          = "request"
)

// ManifestName is the name of the only object of kind KindManifest.
const ManifestName = "current"

// Object is one stored value. Versions are taken from one counter, which every write to the store
// increases, whatever the object.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event is a change of one object. A deleted object has no value.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's object API.
//
// Reads fail with ErrNotFound, ErrRateLimited or ErrUnavailable. Writes also fail with ErrConflict
// if the condition does not hold, and with ErrUnknownOutcome if the response was lost and the write
// may have taken effect.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the store's version at that time.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create writes an object that must not exist and returns its version.
	Create(ctx context.Context, kind, name string, value []byte) (uint64, error)
	// Update writes an object whose version must still be ifVersion.
	Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes an object whose version must still be ifVersion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) error
	// Watch waits for events of a kind after a version. It returns the events and the version to
	// continue from; there are no events if the platform's wait time ends without one. It fails with
	// ErrHistoryGone if the platform no longer stores the events since that version; List then returns
	// the objects and a version to continue from.
	Watch(ctx context.Context, kind string, after uint64) ([]Event, uint64, error)
	// VMs waits for a list of VMs that was written after a version of the store. It returns the list
	// and the version to continue from. The list is empty and has version 0 if the wait time ends
	// without one. A call from version 0 waits only if there is no list yet.
	VMs(ctx context.Context, after uint64) (api.VMList, uint64, error)
}
