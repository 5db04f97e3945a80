package configuration

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/message"
)

// recordRevision records which entries a revision changes or removes, for later deltas, and drops
// removals that are older than the history.
func (s *Store) recordRevision(revision uint64, entries api.ManifestEntries) {
	for key, entry := range entries {
		if old, ok := s.manifest.Entries[key]; !ok || old != entry {
			s.changedAt[key] = revision
			delete(s.removedAt, key)
		}
	}
	for key := range s.manifest.Entries {
		if _, ok := entries[key]; !ok {
			s.removedAt[key] = revision
			delete(s.changedAt, key)
		}
	}
	s.history = append(s.history, revision)
	if len(s.history) > HistoryLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	maps.DeleteFunc(s.removedAt, func(_ string, removedAt uint64) bool { return removedAt <= s.history[0] })
}

// Delta returns the changes from a base revision to the current one. It is full if the base is
// older than the history or was never accepted by this store: a peer may have accepted a revision
// that this node skipped and whose changes it cannot compute. If the peer is not behind, the delta
// is empty and has the current revision.
func (s *Store) Delta(base uint64) Delta {
	delta := Delta{From: base, Revision: s.Revision(), Full: !slices.Contains(s.history, base)}
	if base >= s.Revision() {
		delta.Full = false
		return delta
	}
	sent := map[string]bool{}
	for _, key := range sortedKeys(s.manifest.Entries) {
		if !delta.Full && s.changedAt[key] <= base {
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
		for _, key := range sortedKeys(s.removedAt) {
			if s.removedAt[key] > base {
				delta.Removed = append(delta.Removed, key)
			}
		}
	}
	delta.Operations = slices.Clone(s.manifest.Operations)
	return delta
}

// ApplyDelta applies a delta from a peer under the rules of Accept. The base of a delta that is
// not full must be the current revision. Otherwise the error is ErrBaseMismatch and the caller has
// to fetch the configuration again.
func (s *Store) ApplyDelta(delta Delta) (*Set, error) {
	if delta.Revision <= s.Revision() {
		return nil, nil
	}
	manifest := api.Manifest{Entries: api.ManifestEntries{}, Operations: delta.Operations}
	if !delta.Full {
		if delta.From != s.Revision() {
			return nil, errors.Wrapf(ErrBaseMismatch, "apply delta with base %d at revision %d", delta.From, s.Revision())
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
