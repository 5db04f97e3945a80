package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// createOrUpdate creates an object when ifVersion is 0 and else updates it.
func createOrUpdate(ctx context.Context, store objectstore.Store, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if ifVersion == 0 {
		return store.Create(ctx, kind, name, value)
	}
	return store.Update(ctx, kind, name, value, ifVersion)
}

func isNotFound(err error) bool {
	return errors.Is(err, objectstore.ErrNotFound)
}

// ignoreConflict returns nil for a conflict: the platform answered.
func ignoreConflict(err error) error {
	if errors.Is(err, objectstore.ErrConflict) {
		return nil
	}
	return err
}
