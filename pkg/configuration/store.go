package configuration

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// HistoryLength is the number of past revisions that can be the base of a delta. At 5,900 changes
// a day they cover about 15 minutes, which is longer than most pauses of a peer.
const HistoryLength = 64

// Errors of the store. Match them with errors.Is.
var (
	ErrDigestMismatch = errors.New("blob content does not match its digest")
	ErrMissingBlob    = errors.New("blob of a manifest entry is neither stored nor received")
	ErrBaseMismatch   = errors.New("base revision of a delta is not the current revision")
)

// Delta is the difference between two revisions as sent to a peer. A full delta holds the whole
// manifest and all blobs.
type Delta = message.ConfigDelta

// Store holds the accepted configuration. Its revision only increases. It is not safe for
// concurrent use.
type Store struct {
	current   *Set
	manifest  api.Manifest
	blobs     map[string][]byte
	history   []uint64          // accepted revisions that can be the base of a delta, ascending
	changedAt map[string]uint64 // revision at which a current entry last changed, by key
	removedAt map[string]uint64 // revision at which a former entry was removed, by key
}

// NewStore returns a store without a configuration, at revision 0.
func NewStore() *Store {
	return &Store{blobs: map[string][]byte{}, changedAt: map[string]uint64{}, removedAt: map[string]uint64{}}
}

// Current returns the accepted configuration, or nil if there is none yet.
func (s *Store) Current() *Set {
	return s.current
}

// Revision returns the accepted revision, or 0 if there is none yet.
func (s *Store) Revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// Accept replaces the current configuration if the given revision is higher; otherwise it returns
// nil without an error. Blobs that are already stored may be omitted. On an error
// (ErrDigestMismatch, ErrMissingBlob, or a spec that cannot be decoded) the current configuration
// stays.
func (s *Store) Accept(revision uint64, manifest api.Manifest, blobs map[string][]byte) (*Set, error) {
	if revision <= s.Revision() {
		return nil, nil
	}
	collected, err := s.collectBlobs(manifest, blobs)
	if err != nil {
		return nil, errors.Wrapf(err, "accept revision %d", revision)
	}
	set, err := Build(revision, manifestObjects(manifest, collected))
	if err != nil {
		return nil, errors.Wrapf(err, "accept revision %d", revision)
	}
	s.recordRevision(revision, manifest.Entries)
	s.current, s.blobs = set, collected
	s.manifest = api.Manifest{Entries: maps.Clone(manifest.Entries), Operations: slices.Clone(manifest.Operations)}
	return set, nil
}

// Missing returns the sorted digests of a manifest whose blobs are not stored.
func (s *Store) Missing(manifest api.Manifest) []string {
	missing := []string{}
	for _, entry := range manifest.Entries {
		if _, ok := s.blobs[entry.Digest]; !ok {
			missing = append(missing, entry.Digest)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// collectBlobs returns the blobs of a manifest by digest, each from the store or else from the
// received blobs. It verifies the digests of received blobs.
func (s *Store) collectBlobs(manifest api.Manifest, received map[string][]byte) (map[string][]byte, error) {
	collected := map[string][]byte{}
	for _, key := range sortedKeys(manifest.Entries) {
		digest := manifest.Entries[key].Digest
		if blob, ok := s.blobs[digest]; ok {
			collected[digest] = blob
			continue
		}
		blob, ok := received[digest]
		if !ok {
			return nil, errors.Wrapf(ErrMissingBlob, "%s, digest %s", key, digest)
		}
		if Digest(blob) != digest {
			return nil, errors.Wrapf(ErrDigestMismatch, "%s, digest %s", key, digest)
		}
		collected[digest] = bytes.Clone(blob)
	}
	return collected, nil
}

// manifestObjects returns the objects of a manifest, sorted by key.
func manifestObjects(manifest api.Manifest, blobs map[string][]byte) []api.Object {
	list := []api.Object{}
	for _, key := range sortedKeys(manifest.Entries) {
		entry := manifest.Entries[key]
		kind, name, _ := strings.Cut(key, "/")
		list = append(list, api.Object{Kind: kind, Name: name, Generation: entry.Generation, Spec: blobs[entry.Digest]})
	}
	return list
}

func sortedKeys[V any](table map[string]V) []string {
	return slices.Sorted(maps.Keys(table))
}
