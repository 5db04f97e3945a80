package configuration

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
)

// Set is one revision of the configuration with decoded specs by object name. It is immutable.
type Set struct {
	// Revision is the platform's version of the manifest.
	Revision    uint64
	Services    map[string]api.ServiceSpec
	DataCentres map[string]api.DataCentreSpec
	Routes      map[string]api.RouteSpec
	WorkKinds   map[string]api.WorkKindSpec
	Callers     map[string]api.CallerSpec
	Rollouts    map[string]api.RolloutSpec
	// Generations holds the generation of each object by its key, "kind/name".
	Generations map[string]int
}

// Digest returns the hexadecimal SHA-256 of a spec, under which its blob is stored.
func Digest(spec []byte) string {
	sum := sha256.Sum256(spec)
	return hex.EncodeToString(sum[:])
}

// Build decodes the objects of a configuration. It fails on the first object that cannot be
// decoded.
func Build(revision uint64, objects []api.Object) (*Set, error) {
	set := &Set{
		Revision:    revision,
		Services:    map[string]api.ServiceSpec{},
		DataCentres: map[string]api.DataCentreSpec{},
		Routes:      map[string]api.RouteSpec{},
		WorkKinds:   map[string]api.WorkKindSpec{},
		Callers:     map[string]api.CallerSpec{},
		Rollouts:    map[string]api.RolloutSpec{},
		Generations: map[string]int{},
	}
	for _, object := range objects {
		spec, err := declare.DecodeSpec(object)
		if err != nil {
			return nil, err
		}
		set.add(object, spec)
	}
	return set, nil
}

func (s *Set) add(object api.Object, spec any) {
	s.Generations[object.Key()] = object.Generation
	switch spec := spec.(type) {
	case api.ServiceSpec:
		s.Services[object.Name] = spec
	case api.DataCentreSpec:
		s.DataCentres[object.Name] = spec
	case api.RouteSpec:
		s.Routes[object.Name] = spec
	case api.WorkKindSpec:
		s.WorkKinds[object.Name] = spec
	case api.CallerSpec:
		s.Callers[object.Name] = spec
	case api.RolloutSpec:
		s.Rollouts[object.Name] = spec
	}
}
