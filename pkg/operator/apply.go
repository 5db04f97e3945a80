package operator

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/platform"
)

// maxOperations is how many operation ids a manifest remembers.
const maxOperations = 64

// ApplyRequest asks for a set of objects to be written as one change.
type ApplyRequest struct {
	// Operation identifies the request, so that a repeated one is recognised.
	Operation string       `json:"operation"`
	Objects   []api.Object `json:"objects"`
}

// ApplyResult tells the revision at which the change was accepted.
type ApplyResult struct {
	Revision uint64 `json:"revision"`
}

// Apply writes the objects' specs as blobs and commits them with one conditional
// update of the manifest. It fails with platform.ErrConflict when another
// operator was faster.
func Apply(ctx context.Context, store platform.Store, request ApplyRequest) (ApplyResult, error) {
	manifest, version, err := readManifest(ctx, store)
	if err != nil {
		return ApplyResult{}, err
	}
	for _, object := range request.Objects {
		digest := configuration.Digest(object.Spec)
		err := writeBlob(ctx, store, digest, object.Spec)
		if err != nil {
			return ApplyResult{}, err
		}
		setEntry(&manifest, object.Key(), digest)
	}
	manifest.Operations = append(manifest.Operations, request.Operation)
	if len(manifest.Operations) > maxOperations {
		manifest.Operations = manifest.Operations[len(manifest.Operations)-maxOperations:]
	}
	revision, err := writeManifest(ctx, store, manifest, version)
	return ApplyResult{Revision: revision}, err
}

func readManifest(ctx context.Context, store platform.Store) (api.Manifest, uint64, error) {
	manifest := api.Manifest{Entries: api.ManifestEntries{}}
	object, err := store.Get(ctx, platform.KindManifest, platform.ManifestName)
	if errors.Is(err, platform.ErrNotFound) {
		return manifest, 0, nil
	}
	if err != nil {
		return manifest, 0, err
	}
	err = json.Unmarshal(object.Value, &manifest)
	return manifest, object.Version, errors.Wrap(err, "decode manifest")
}

func writeBlob(ctx context.Context, store platform.Store, digest string, spec []byte) error {
	_, err := store.Create(ctx, platform.KindBlob, digest, spec)
	if errors.Is(err, platform.ErrConflict) {
		// A blob's name is its digest, so an existing one has the same content.
		return nil
	}
	return err
}

func writeManifest(ctx context.Context, store platform.Store, manifest api.Manifest, version uint64) (uint64, error) {
	value, err := json.Marshal(manifest)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	if version == 0 {
		return store.Create(ctx, platform.KindManifest, platform.ManifestName, value)
	}
	return store.Update(ctx, platform.KindManifest, platform.ManifestName, value, version)
}

func setEntry(manifest *api.Manifest, key, digest string) {
	entry := manifest.Entries[key]
	if entry.Digest == digest {
		return
	}
	manifest.Entries[key] = api.ManifestEntry{Digest: digest, Generation: entry.Generation + 1}
}
