package operator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// UnusedBlobs maps the names of unreferenced blobs to their versions. The caller
// stores the result of one collection in memory and passes it to the next.
type UnusedBlobs map[string]uint64

// CollectionResult is the result of CollectBlobs.
type CollectionResult struct {
	// Unused must be passed to the next call.
	Unused UnusedBlobs
	// Deleted is the number of deleted blobs.
	Deleted int
}

// CollectBlobs is the garbage collector of blobs. It deletes at most limit blobs that
// neither the manifest nor its recorded operations refer to, and that were already
// unreferenced at the same version in the previous call. A reader of an older manifest
// can therefore still fetch its blobs for the time between two calls.
//
// Each change leaves about two blobs unreferenced: the previous spec, and the outcome of
// the operation that drops out of the last 64. At 5,900 changes a day that is
// about 490 blobs an hour, so a call every ten minutes with a limit of 200 is enough.
//
// It is safe to run concurrently with an apply. After listing the blobs it updates the
// manifest conditionally, without changing its entries. An apply that wrote or rewrote
// its blobs before the listing was planned on an older manifest, so its commit conflicts
// and it rewrites the blobs. An apply that was planned on the newer manifest rewrites
// every blob that the manifest does not refer to, which changes the blob's version: either
// the conditional delete conflicts, or the apply finds the blob deleted and creates it
// again before it commits.
//
// The update of the manifest advances the revision once for each call that deletes
// blobs. An objectstore.ErrConflict means that an apply committed first; the next call
// retries. The returned result must be used for the next call even after an error.
func CollectBlobs(ctx context.Context, store objectstore.Store, previous UnusedBlobs, limit int) (CollectionResult, error) {
	result := CollectionResult{Unused: previous}
	blobs, _, err := store.List(ctx, objectstore.KindBlob)
	if err != nil {
		return result, errors.Wrap(err, "collect blobs")
	}
	manifest, revision, err := readManifest(ctx, store)
	if err != nil {
		return result, errors.Wrap(err, "collect blobs")
	}
	result.Unused = findUnusedBlobs(blobs, manifest)
	deletable := result.Unused.unchangedSince(previous, limit)
	if len(deletable) == 0 || revision == 0 {
		return result, nil
	}
	err = invalidateOlderPlans(ctx, store, manifest, revision)
	if err != nil {
		return result, errors.Wrap(err, "collect blobs")
	}
	for name, version := range deletable {
		err := store.Delete(ctx, objectstore.KindBlob, name, version)
		switch {
		case err == nil:
			result.Deleted++
		case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrNotFound):
			// An apply rewrote the blob, or another collector deleted it.
		default:
			return result, errors.Wrap(err, "collect blobs")
		}
		delete(result.Unused, name)
	}
	return result, nil
}

func findUnusedBlobs(blobs []objectstore.Object, manifest api.Manifest) UnusedBlobs {
	referenced := map[string]bool{}
	for _, entry := range manifest.Entries {
		referenced[entry.Digest] = true
	}
	for _, text := range manifest.Operations {
		referenced[parseOperation(text).outcomeDigest] = true
	}
	unused := UnusedBlobs{}
	for _, blob := range blobs {
		if !referenced[blob.Name] {
			unused[blob.Name] = blob.Version
		}
	}
	return unused
}

// unchangedSince returns at most limit blobs that previous contains at the same version.
func (u UnusedBlobs) unchangedSince(previous UnusedBlobs, limit int) UnusedBlobs {
	unchanged := UnusedBlobs{}
	for name, version := range u {
		if len(unchanged) < limit && previous[name] == version {
			unchanged[name] = version
		}
	}
	return unchanged
}

// invalidateOlderPlans rewrites the manifest so that the commit of every apply that was
// planned on an older revision conflicts.
func invalidateOlderPlans(ctx context.Context, store objectstore.Store, manifest api.Manifest, revision uint64) error {
	manifest.Operations = completeOperations(manifest.Operations, revision)
	value, err := json.Marshal(manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	_, err = store.Update(ctx, objectstore.KindManifest, objectstore.ManifestName, value, revision)
	return err
}
