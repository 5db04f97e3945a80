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

// HistoryLength is the number of revisions from which a delta can be given. At
// 5,900 changes a day it covers about 15 minutes, longer than most pauses.
const HistoryLength = 64

// Errors of the store. Match them with errors.Is.
var (
	ErrDigestMismatch = errors.New("content of a blob does not match its digest")
	ErrMissingBlob    = errors.New("blob of an entry is not held")
	ErrBaseMismatch   = errors.New("delta applies to another revision than the current one")
)

// Delta is the difference between two revisions as sent to a peer. A full one
// holds the whole manifest and all blobs.
type Delta = message.ConfigDelta

// Store holds the accepted configuration. It only ever moves to a higher revision.
// It is not safe for concurrent use.
type Store struct {
	current   *Set
	manifest  api.Manifest
	blobs     map[string][]byte
	history   []uint64          // accepted revisions from which a delta can be given, ascending
	changedAt map[string]uint64 // revision at which an entry of the manifest last changed
	removedAt map[string]uint64 // revision at which a former entry was removed
}

// NewStore returns a store without a configuration, at revision 0.
func NewStore() *Store {
	return &Store{blobs: map[string][]byte{}, changedAt: map[string]uint64{}, removedAt: map[string]uint64{}}
}

// Current returns the accepted configuration; nil before the first.
func (s *Store) Current() *Set {
	return s.current
}

// Revision returns the accepted revision; 0 before the first.
func (s *Store) Revision() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

// Accept takes over a configuration if its revision is higher than the current
// one, and returns nil without an error if it is not. Blobs that are already held
// need not be given. On an error (ErrDigest, ErrMissingBlob, or a spec that does
// not decode) the current configuration stays.
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

// Missing returns the digests that a manifest refers to and that are not held, sorted.
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

// collectBlobs returns the blobs of a manifest, given or held, after checking the
// digest of each given one.
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
