package operator

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
)

// base is the configuration that a change is planned on.
type base struct {
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

func newPlan(from base, c change) plan {
	p := plan{
		manifest: api.Manifest{Entries: api.ManifestEntries{}, Operations: completeOperations(from.manifest.Operations, from.revision)},
		blobs:    map[string][]byte{},
	}
	objects := map[string]api.Object{}
	for key, object := range from.objects {
		objects[key] = object
		p.manifest.Entries[key] = from.manifest.Entries[key]
	}
	for _, object := range c.objects {
		p.put(from, object)
		object.Generation = p.manifest.Entries[object.Key()].Generation
		objects[object.Key()] = object
	}
	for _, key := range c.remove {
		p.remove(from, key)
		delete(objects, key)
	}
	p.objects = listObjects(objects)
	p.outcome.Traffic = affected(from.objects, objects, p.outcome.Changes)
	return p
}

// specs returns the specs that the new manifest refers to, by digest.
func (p *plan) specs() map[string][]byte {
	specs := map[string][]byte{}
	for _, object := range p.objects {
		specs[p.manifest.Entries[object.Key()].Digest] = object.Spec
	}
	return specs
}

func (p *plan) put(from base, object api.Object) {
	key := object.Key()
	digest := configuration.Digest(object.Spec)
	entry, exists := from.manifest.Entries[key]
	change := Change{Kind: object.Kind, Name: object.Name, Action: ActionUnchanged, Generation: entry.Generation}
	if !exists || entry.Digest != digest {
		change.Action = ActionUpdate
		change.Generation++
		change.Fields = compareFields(from.objects[key].Spec, object.Spec)
		p.blobs[digest] = object.Spec
		p.changed = true
	}
	if !exists {
		change.Action = ActionCreate
	}
	p.manifest.Entries[key] = api.ManifestEntry{Digest: digest, Generation: change.Generation}
	p.outcome.Changes = append(p.outcome.Changes, change)
}

func (p *plan) remove(from base, key string) {
	kind, name, _ := strings.Cut(key, "/")
	delete(p.manifest.Entries, key)
	fields := compareFields(from.objects[key].Spec, nil)
	p.outcome.Changes = append(p.outcome.Changes, Change{Kind: kind, Name: name, Action: ActionDelete, Fields: fields})
	p.changed = true
}

// record adds the operation and its outcome to the plan.
func (p *plan) record(change change) error {
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
	p.manifest.Operations = addOperation(p.manifest.Operations, operationRecord{id: change.operation, outcome: name})
	return nil
}

func compareFields(old, updated json.RawMessage) []FieldChange {
	was, is := fieldsOf(old), fieldsOf(updated)
	names := map[string]bool{}
	for name := range was {
		names[name] = true
	}
	for name := range is {
		names[name] = true
	}
	changes := []FieldChange{}
	for name := range names {
		if !bytes.Equal(was[name], is[name]) {
			changes = append(changes, FieldChange{Field: name, Old: was[name], New: is[name]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func fieldsOf(spec json.RawMessage) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(spec, &fields)
	return fields
}

func sortObjects(objects []api.Object) {
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key() < objects[j].Key() })
}

func listObjects(objects map[string]api.Object) []api.Object {
	listed := []api.Object{}
	for _, object := range objects {
		listed = append(listed, object)
	}
	sortObjects(listed)
	return listed
}
