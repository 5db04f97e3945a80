package operator

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

// baseConfig is the configuration that a change is planned on.
type baseConfig struct {
	manifest api.Manifest
	revision uint64
	objects  map[string]api.Object
}

// plan is a change worked out on one base.
type plan struct {
	manifest api.Manifest
	objects  []api.Object
	// blobs are the specs that the new manifest refers to and the base does not.
	blobs   map[string][]byte
	outcome Outcome
	changed bool
}

func newPlan(base baseConfig, c change) plan {
	p := plan{
		manifest: api.Manifest{Entries: api.ManifestEntries{}, Operations: completeOperations(base.manifest.Operations, base.revision)},
		blobs:    map[string][]byte{},
	}
	objects := map[string]api.Object{}
	for key, object := range base.objects {
		objects[key] = object
		p.manifest.Entries[key] = base.manifest.Entries[key]
	}
	for _, object := range c.objects {
		p.putObject(base, object)
		object.Generation = p.manifest.Entries[object.Key()].Generation
		objects[object.Key()] = object
	}
	for _, key := range c.deletions {
		p.deleteObject(base, key)
		delete(objects, key)
	}
	p.objects = sortedObjects(objects)
	p.outcome.Traffic = affectedTraffic(base.objects, objects, p.outcome.Changes)
	return p
}

// specsByDigest returns the specs that the new manifest refers to, by digest.
func (p *plan) specsByDigest() map[string][]byte {
	specs := map[string][]byte{}
	for _, object := range p.objects {
		specs[p.manifest.Entries[object.Key()].Digest] = object.Spec
	}
	return specs
}

func (p *plan) putObject(base baseConfig, object api.Object) {
	key := object.Key()
	digest := configuration.Digest(object.Spec)
	entry, exists := base.manifest.Entries[key]
	change := Change{Kind: object.Kind, Name: object.Name, Action: ActionUnchanged, Generation: entry.Generation}
	if !exists || entry.Digest != digest {
		change.Action = ActionUpdate
		change.Generation++
		change.Fields = diffFields(base.objects[key].Spec, object.Spec)
		p.blobs[digest] = object.Spec
		p.changed = true
	}
	if !exists {
		change.Action = ActionCreate
	}
	p.manifest.Entries[key] = api.ManifestEntry{Digest: digest, Generation: change.Generation}
	p.outcome.Changes = append(p.outcome.Changes, change)
}

func (p *plan) deleteObject(base baseConfig, key string) {
	kind, name, _ := strings.Cut(key, "/")
	delete(p.manifest.Entries, key)
	fields := diffFields(base.objects[key].Spec, nil)
	p.outcome.Changes = append(p.outcome.Changes, Change{Kind: kind, Name: name, Action: ActionDelete, Fields: fields})
	p.changed = true
}

// addOperation adds the operation and its outcome to the plan.
func (p *plan) addOperation(change change) error {
	digest, err := requestDigest(change)
	if err != nil {
		return internalError(err)
	}
	outcome, err := json.Marshal(storedOutcome{Operation: change.operation, Request: digest, Outcome: p.outcome})
	if err != nil {
		return internalError(err)
	}
	name := configuration.Digest(outcome)
	p.blobs[name] = outcome
	p.manifest.Operations = appendOperation(p.manifest.Operations, operationRecord{id: change.operation, outcomeDigest: name})
	return nil
}

func diffFields(old, updated json.RawMessage) []FieldChange {
	oldFields, newFields := decodeFields(old), decodeFields(updated)
	names := map[string]bool{}
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	changes := []FieldChange{}
	for name := range names {
		if !bytes.Equal(oldFields[name], newFields[name]) {
			changes = append(changes, FieldChange{Field: name, Old: oldFields[name], New: newFields[name]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func decodeFields(spec json.RawMessage) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(spec, &fields)
	return fields
}

func sortObjects(objects []api.Object) {
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key() < objects[j].Key() })
}

func sortedObjects(objects map[string]api.Object) []api.Object {
	sorted := []api.Object{}
	for _, object := range objects {
		sorted = append(sorted, object)
	}
	sortObjects(sorted)
	return sorted
}
