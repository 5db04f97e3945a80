package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/platform"
)

// put creates an object when ifVersion is 0 and else updates it.
func put(ctx context.Context, store platform.Store, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if ifVersion == 0 {
		return store.Create(ctx, kind, name, value)
	}
	return store.Update(ctx, kind, name, value, ifVersion)
}

func notFound(err error) bool {
	return errors.Is(err, platform.ErrNotFound)
}

// ignoreConflict returns nil for a conflict: the platform answered.
func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
