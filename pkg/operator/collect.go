package operator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// Unused is what a collection found unused: the blobs' versions by name. The
// caller keeps it in memory and hands it to the next collection.
type Unused map[string]uint64

// Collection is the result of CollectBlobs.
type Collection struct {
	// Unused is to be handed to the next call.
	Unused Unused
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
func CollectBlobs(ctx context.Context, store objectstore.Store, before Unused, limit int) (Collection, error) {
	collection := Collection{Unused: before}
	blobs, _, err := store.List(ctx, objectstore.KindBlob)
	if err != nil {
		return collection, errors.Wrap(err, "collect blobs")
	}
	manifest, revision, err := readManifest(ctx, store)
	if err != nil {
		return collection, errors.Wrap(err, "collect blobs")
	}
	collection.Unused = findUnused(blobs, manifest)
	doomed := collection.Unused.since(before, limit)
	if len(doomed) == 0 || revision == 0 {
		return collection, nil
	}
	err = fence(ctx, store, manifest, revision)
	if err != nil {
		return collection, errors.Wrap(err, "collect blobs")
	}
	for name, version := range doomed {
		err := store.Delete(ctx, objectstore.KindBlob, name, version)
		switch {
		case err == nil:
			collection.Deleted++
		case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrNotFound):
			// An apply touched the blob, or another collector removed it.
		default:
			return collection, errors.Wrap(err, "collect blobs")
		}
		delete(collection.Unused, name)
	}
	return collection, nil
}

func findUnused(blobs []objectstore.Object, manifest api.Manifest) Unused {
	used := map[string]bool{}
	for _, entry := range manifest.Entries {
		used[entry.Digest] = true
	}
	for _, text := range manifest.Operations {
		used[parseOperation(text).outcome] = true
	}
	unused := Unused{}
	for _, blob := range blobs {
		if !used[blob.Name] {
			unused[blob.Name] = blob.Version
		}
	}
	return unused
}

// since returns at most limit blobs that were unused before with the same version.
func (u Unused) since(before Unused, limit int) Unused {
	old := Unused{}
	for name, version := range u {
		if len(old) < limit && before[name] == version {
			old[name] = version
		}
	}
	return old
}

// fence makes the commit of every apply that was planned on an older manifest fail.
func fence(ctx context.Context, store objectstore.Store, manifest api.Manifest, revision uint64) error {
	manifest.Operations = completeOperations(manifest.Operations, revision)
	value, err := json.Marshal(manifest)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	_, err = store.Update(ctx, objectstore.KindManifest, objectstore.ManifestName, value, revision)
	return err
}
