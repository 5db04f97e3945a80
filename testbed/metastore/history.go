package metastore

import (
	"encoding/json"
	"strings"

	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

// kindPrefix begins the names of the kinds that the product keeps for itself.
const kindPrefix = "fireflychute-"

// History returns the changes of the product's own kinds after a version that are
// still kept.
func (s *Store) History(after uint64) []objectstore.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []objectstore.Event{}
	for _, c := range s.changesAfter(after) {
		kind, isProductKind := strings.CutPrefix(c.kind, kindPrefix)
		if !isProductKind {
			continue
		}
		object := objectstore.Object{Kind: kind, Name: c.event.Object.Metadata.Name, Version: c.revision}
		if !c.event.Deleted {
			object.Value = valueOf(c.event.Object)
		}
		events = append(events, objectstore.Event{Object: object, Deleted: c.event.Deleted})
	}
	return events
}

func valueOf(object Object) []byte {
	var content struct {
		Value []byte `json:"value"`
	}
	err := json.Unmarshal(object.Spec, &content)
	if err != nil {
		panic(err) // the product wrote an object that it cannot read itself
	}
	return content.Value
}
