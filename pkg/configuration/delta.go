package configuration

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// record notes what a revision changes, for later deltas, and forgets what is
// older than the history.
func (s *Store) record(revision uint64, entries api.ManifestEntries) {
	for key, entry := range entries {
		if known, ok := s.manifest.Entries[key]; !ok || known != entry {
			s.changed[key] = revision
			delete(s.removed, key)
		}
	}
	for key := range s.manifest.Entries {
		if _, ok := entries[key]; !ok {
			s.removed[key] = revision
			delete(s.changed, key)
		}
	}
	s.history = append(s.history, revision)
	if len(s.history) > HistoryLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	maps.DeleteFunc(s.removed, func(_ string, at uint64) bool { return at <= s.history[0] })
}

// Delta returns what leads from a revision to the current one. It is full when
// that revision is older than the history or was never accepted here: a peer may
// have seen a revision that this node skipped, whose changes are not known. When
// the peer is not behind, the delta is empty with the current revision.
func (s *Store) Delta(have uint64) Delta {
	delta := Delta{From: have, Revision: s.Revision(), Full: !slices.Contains(s.history, have)}
	if have >= s.Revision() {
		delta.Full = false
		return delta
	}
	sent := map[string]bool{}
	for _, key := range sortedKeys(s.manifest.Entries) {
		if !delta.Full && s.changed[key] <= have {
			continue
		}
		entry := s.manifest.Entries[key]
		delta.Entries = append(delta.Entries, message.ConfigEntry{Key: key, Digest: entry.Digest, Generation: entry.Generation})
		if !sent[entry.Digest] {
			sent[entry.Digest] = true
			delta.Blobs = append(delta.Blobs, message.ConfigBlob{Digest: entry.Digest, Value: s.blobs[entry.Digest]})
		}
	}
	if !delta.Full {
		for _, key := range sortedKeys(s.removed) {
			if s.removed[key] > have {
				delta.Removed = append(delta.Removed, key)
			}
		}
	}
	delta.Operations = slices.Clone(s.manifest.Operations)
	return delta
}

// ApplyDelta takes over a peer's delta under the rules of Accept. One that is not
// full must begin at the current revision; otherwise the error is ErrOtherBase and
// the configuration has to be fetched again.
func (s *Store) ApplyDelta(delta Delta) (*Set, error) {
	if delta.Revision <= s.Revision() {
		return nil, nil
	}
	manifest := api.Manifest{Entries: api.ManifestEntries{}, Operations: delta.Operations}
	if !delta.Full {
		if delta.From != s.Revision() {
			return nil, errors.Wrapf(ErrOtherBase, "from %d, current %d", delta.From, s.Revision())
		}
		maps.Copy(manifest.Entries, s.manifest.Entries)
	}
	for _, entry := range delta.Entries {
		manifest.Entries[entry.Key] = api.ManifestEntry{Digest: entry.Digest, Generation: entry.Generation}
	}
	for _, key := range delta.Removed {
		delete(manifest.Entries, key)
	}
	blobs := map[string][]byte{}
	for _, blob := range delta.Blobs {
		blobs[blob.Digest] = blob.Value
	}
	return s.Accept(delta.Revision, manifest, blobs)
}
