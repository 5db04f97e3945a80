package operator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// UnusedBlobs is what a collection found unused: the blobs' versions by name. The
// caller keeps it in memory and hands it to the next collection.
type UnusedBlobs map[string]uint64

// CollectionResult is the result of CollectBlobs.
type CollectionResult struct {
	// Unused is to be handed to the next call.
	Unused UnusedBlobs
	// Deleted is how many blobs were deleted.
	Deleted int
}

// CollectBlobs deletes at most limit blobs that neither the manifest nor its
// recorded operations refer to, and that were already unused at the call before,
// with the same version. The time between two calls is thus how long a reader of
// an older manifest can still fetch its blobs.
//
// Each change puts about two blobs out of use: the former spec, and the outcome of
// the 64th last operation. At 5,900 changes a day that is about 490 an hour, so a
// call every ten minutes with a limit of 200 keeps up.
//
// It is safe against an apply at the same time. After it listed the blobs it
// updates the manifest conditionally, without changing its entries. An apply that
// wrote or touched its blobs before the listing was planned on an older manifest,
// so its commit conflicts and it touches the blobs again. An apply planned on the
// newer manifest touches every blob that the manifest does not refer to, which
// changes the blob's version; the conditional delete then conflicts, or the apply
// finds the blob gone and creates it again before it commits.
//
// The manifest's update raises the revision once for each call that deletes
// something. A objectstore.ErrConflict means that an apply was faster; the next call
// tries again. After a failure the returned collection is still to be kept.
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
			// An apply touched the blob, or another collector removed it.
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

// unchangedSince returns at most limit blobs that were unused before with the same version.
func (u UnusedBlobs) unchangedSince(previous UnusedBlobs, limit int) UnusedBlobs {
	unchanged := UnusedBlobs{}
	for name, version := range u {
		if len(unchanged) < limit && previous[name] == version {
			unchanged[name] = version
		}
	}
	return unchanged
}

// invalidateOlderPlans makes the commit of every apply that was planned on an older manifest fail.
func invalidateOlderPlans(ctx context.Context, store objectstore.Store, manifest api.Manifest, revision uint64) error {
	manifest.Operations = completeOperations(manifest.Operations, revision)
	value, err := json.Marshal(manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	_, err = store.Update(ctx, objectstore.KindManifest, objectstore.ManifestName, value, revision)
	return err
}
