package operator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// maxBlobAttempts bounds the writes of one blob, for lost answers and for a
// collector that removes the blob at the same time.
const maxBlobAttempts = 4

// readManifest returns an empty manifest and revision 0 when there is none.
func readManifest(ctx context.Context, store objectstore.Store) (api.Manifest, uint64, error) {
	manifest := api.Manifest{Entries: api.ManifestEntries{}}
	object, err := store.Get(ctx, objectstore.KindManifest, objectstore.ManifestName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return manifest, 0, nil
	}
	if err != nil {
		return manifest, 0, err
	}
	err = json.Unmarshal(object.Value, &manifest)
	return manifest, object.Version, errors.Wrap(err, "decode manifest")
}

// writeBlob makes sure that a blob exists and that a collector which listed it
// earlier cannot delete it: an existing blob is written again, which changes the
// version that the collector's conditional delete demands.
func writeBlob(ctx context.Context, store objectstore.Store, digest string, spec []byte) error {
	var err error
	for range maxBlobAttempts {
		_, err = store.Create(ctx, objectstore.KindBlob, digest, spec)
		if errors.Is(err, objectstore.ErrConflict) {
			err = touchBlob(ctx, store, digest, spec)
		}
		if !isRetryable(err) && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
	}
	return errors.Wrap(objectstore.ErrUnavailable, "write blob: "+err.Error())
}

func touchBlob(ctx context.Context, store objectstore.Store, digest string, spec []byte) error {
	object, err := store.Get(ctx, objectstore.KindBlob, digest)
	if err != nil {
		return err
	}
	_, err = store.Update(ctx, objectstore.KindBlob, digest, spec, object.Version)
	return err
}
