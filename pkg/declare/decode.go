package declare

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// sections maps the tables of a declaration file to kinds.
var sections = map[string]string{
	"service":    api.KindService,
	"dataCentre": api.KindDataCentre,
	"route":      api.KindRoute,
	"workKind":   api.KindWorkKind,
	"caller":     api.KindCaller,
	"rollout":    api.KindRollout,
}

// Decode reads a declaration in TOML: a table per kind that holds a table per
// object, for example [service.label-text]. Objects are returned in order of
// kind and name. The error names the table and the field.
func Decode(text []byte) ([]api.Object, error) {
	var tables map[string]map[string]map[string]any
	err := toml.Unmarshal(text, &tables)
	if err != nil {
		return nil, errors.Wrap(err, "decode declaration")
	}
	objects := []api.Object{}
	for section, named := range tables {
		kind, ok := sections[section]
		if !ok {
			return nil, errors.Errorf("unknown kind %q", section)
		}
		for name, fields := range named {
			object, err := newObject(kind, name, fields)
			if err != nil {
				return nil, err
			}
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key() < objects[j].Key() })
	return objects, nil
}

func newObject(kind, name string, fields map[string]any) (api.Object, error) {
	raw, err := json.Marshal(fields)
	if err != nil {
		return api.Object{}, errors.Wrapf(err, "%s/%s", kind, name)
	}
	object := api.Object{Kind: kind, Name: name, Spec: raw}
	_, err = DecodeSpec(object)
	return object, err
}

// DecodeSpec returns the typed spec of an object. Unknown fields are errors.
func DecodeSpec(object api.Object) (any, error) {
	switch object.Kind {
	case api.KindService:
		return strict[api.ServiceSpec](object)
	case api.KindDataCentre:
		return strict[api.DataCentreSpec](object)
	case api.KindRoute:
		return strict[api.RouteSpec](object)
	case api.KindWorkKind:
		return strict[api.WorkKindSpec](object)
	case api.KindCaller:
		return strict[api.CallerSpec](object)
	case api.KindRollout:
		return strict[api.RolloutSpec](object)
	default:
		return nil, errors.Errorf("unknown kind %q", object.Kind)
	}
}

func strict[T any](object api.Object) (T, error) {
	var spec T
	decoder := json.NewDecoder(bytes.NewReader(object.Spec))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&spec)
	return spec, errors.Wrap(err, object.Key())
}
