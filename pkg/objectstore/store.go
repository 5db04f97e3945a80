package objectstore

import (
	"context"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// Kinds of the objects that the system keeps at the platform.
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

// Object is one stored value. Version grows with each write to the store, over
// all objects.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event reports a change of one object. A deleted object has no value.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's object API.
//
// Reads fail with ErrNotFound, ErrRateLimited or ErrUnavailable. Writes fail
// with these, with ErrConflict when the condition does not hold, and with
// ErrUnknownOutcome when the answer was lost and the write may have taken effect.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind and the store's version at that time.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create writes an object that must not exist and returns its version.
	Create(ctx context.Context, kind, name string, value []byte) (uint64, error)
	// Update writes an object whose version must still be ifVersion.
	Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes an object whose version must still be ifVersion.
	Delete(ctx context.Context, kind, name string, ifVersion uint64) error
	// Watch waits for events of a kind after a version. It returns an empty
	// slice when the platform's waiting time ends, and the version to go on from.
	// It fails with ErrHistoryGone when the platform no longer keeps the events since
	// that version; List then gives the objects and a version to go on from.
	Watch(ctx context.Context, kind string, after uint64) ([]Event, uint64, error)
	// VMs waits for a list of VMs that was written after a version of the store and
	// returns it, and the version to go on from. The list is empty and has version 0
	// when the waiting time ended without one. A call from version 0 waits
	// only where there is no list yet.
	VMs(ctx context.Context, after uint64) (api.VMList, uint64, error)
}
