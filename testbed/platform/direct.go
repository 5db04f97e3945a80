package platform

import (
	"context"
	"errors"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
	client "github.com/fireflychute/fireflychute/pkg/platform"
)

// directWait is how long a watch waits without an event.
const directWait = 20 * time.Second

// Direct gives access to a Server without a network, so that tests can run under
// fake time. Reachable decides whether the caller reaches the platform now; nil
// means always.
type Direct struct {
	Server    *Server
	Reachable func() bool
}

var _ client.Store = Direct{}

// Get implements Store.
func (d Direct) Get(ctx context.Context, kind, name string) (client.Object, error) {
	err := d.read(ctx)
	if err != nil {
		return client.Object{}, err
	}
	object, err := d.Server.store.get(kind, name)
	return object, translate(err)
}

// List implements Store.
func (d Direct) List(ctx context.Context, kind string) ([]client.Object, uint64, error) {
	err := d.read(ctx)
	if err != nil {
		return nil, 0, err
	}
	objects, version := d.Server.store.list(kind)
	return objects, version, nil
}

// Create implements Store.
func (d Direct) Create(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return d.write(ctx, func() (client.Object, error) { return d.Server.store.put(kind, name, value, 0) })
}

// Update implements Store.
func (d Direct) Update(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	return d.write(ctx, func() (client.Object, error) { return d.Server.store.put(kind, name, value, ifVersion) })
}

// Delete implements Store.
func (d Direct) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	_, err := d.write(ctx, func() (client.Object, error) { return d.Server.store.remove(kind, name, ifVersion) })
	return err
}

// Watch implements Store.
func (d Direct) Watch(ctx context.Context, kind string, after uint64) ([]client.Event, uint64, error) {
	err := d.read(ctx)
	if err != nil {
		return nil, after, err
	}
	d.Server.countWatch()
	deadline := time.After(directWait)
	for {
		if d.Server.gate.watchesBroken() {
			return nil, after, client.ErrUnavailable
		}
		events, version, changed, err := d.Server.store.since(kind, after)
		if err != nil || len(events) > 0 {
			return events, version, translate(err)
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, version, nil
		case <-ctx.Done():
			return nil, after, client.ErrUnavailable
		}
		if d.unreachable() {
			return nil, after, client.ErrUnavailable
		}
	}
}

// VMs implements Store.
func (d Direct) VMs(ctx context.Context, after uint64) (api.VMList, error) {
	err := d.read(ctx)
	if err != nil {
		return api.VMList{}, err
	}
	d.Server.countWatch()
	deadline := time.After(directWait)
	for {
		d.Server.vmMu.Lock()
		vms, changed := d.Server.vms, d.Server.vmChanged
		d.Server.vmMu.Unlock()
		if uint64(vms.Version) > after {
			return vms, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return vms, nil
		case <-ctx.Done():
			return vms, client.ErrUnavailable
		}
		if d.unreachable() {
			return api.VMList{}, client.ErrUnavailable
		}
	}
}

func (d Direct) unreachable() bool {
	return d.Server.gate.isDown() || (d.Reachable != nil && !d.Reachable())
}

func (d Direct) read(ctx context.Context) error {
	_, err := d.admit(ctx, false)
	return err
}

func (d Direct) admit(ctx context.Context, write bool) (verdict, error) {
	if d.Reachable != nil && !d.Reachable() {
		return verdict{}, client.ErrUnavailable
	}
	v := d.Server.gate.admit(write, time.Now())
	if !sleep(ctx, v.delay) || v.down {
		return v, client.ErrUnavailable
	}
	if v.limited {
		return v, client.ErrRateLimited
	}
	return v, nil
}

func (d Direct) write(ctx context.Context, apply func() (client.Object, error)) (uint64, error) {
	v, err := d.admit(ctx, true)
	if err != nil {
		return 0, err
	}
	object, err := apply()
	if v.loseAnswer {
		return 0, client.ErrUnknownOutcome
	}
	return object.Version, translate(err)
}

// translate maps errors of the store to those of the client.
func translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotFound):
		return client.ErrNotFound
	case errors.Is(err, errConflict):
		return client.ErrConflict
	case errors.Is(err, errExpired):
		return client.ErrForgotten
	default:
		return client.ErrUnavailable
	}
}
