package declare

import (
	"bytes"
	"encoding/json"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// specTypes maps each kind to the Go type of its spec.
var specTypes = map[string]reflect.Type{
	api.KindService:    reflect.TypeFor[api.ServiceSpec](),
	api.KindDataCentre: reflect.TypeFor[api.DataCentreSpec](),
	api.KindRoute:      reflect.TypeFor[api.RouteSpec](),
	api.KindWorkKind:   reflect.TypeFor[api.WorkKindSpec](),
	api.KindCaller:     reflect.TypeFor[api.CallerSpec](),
	api.KindRollout:    reflect.TypeFor[api.RolloutSpec](),
}

// defaults holds the non-zero default values of optional fields by kind and field name. Fields
// that default to the zero value have omitempty in the tag of the api type instead.
var defaults = map[string]map[string]json.RawMessage{
	api.KindDataCentre: {"capacityPolicy": json.RawMessage(`"Refuse"`)},
}

// Kinds returns the kinds that can be declared, sorted.
func Kinds() []string {
	kinds := []string{}
	for kind := range specTypes {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}

// DecodeSpec returns the typed spec of an object, for example an api.ServiceSpec. Unknown fields
// and wrong types are errors. Missing fields get their default or the zero value, so that specs
// stored by an earlier version can be read. The error is of type Problems.
func DecodeSpec(object api.Object) (any, error) {
	spec, problems := decodeFields(object, false)
	return spec, problems.asError()
}

// Canonical returns the canonical JSON encoding of a declared object's spec, with defaults filled
// in, so that equal specs have equal digests. A missing field without a default is an error. The
// error is of type Problems.
func Canonical(object api.Object) (json.RawMessage, error) {
	spec, problems := decodeFields(object, true)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	raw, err := json.Marshal(spec)
	return raw, errors.Wrapf(err, "encode %s", object.Key())
}

// decodeFields decodes the spec of an object. With requireAll, a missing field without a default
// is a problem.
func decodeFields(object api.Object, requireAll bool) (any, Problems) {
	specType, ok := specTypes[object.Kind]
	if !ok {
		return nil, Problems{newProblem(object, "", "unknown kind; known are "+strings.Join(Kinds(), ", "))}
	}
	fields, err := rawFields(object.Spec)
	if err != nil {
		return nil, Problems{newProblem(object, "", "spec is not an object: "+err.Error())}
	}
	spec := reflect.New(specType).Elem()
	problems := Problems{}
	for i := range specType.NumField() {
		name, optional := fieldName(specType.Field(i))
		raw, found := fields[name]
		delete(fields, name)
		if !found {
			raw, found = defaults[object.Kind][name]
		}
		if !found {
			if requireAll && !optional {
				problems = append(problems, newProblem(object, name, "must be set"))
			}
			continue
		}
		reason := decodeValue(raw, spec.Field(i))
		if reason != "" {
			problems = append(problems, newProblem(object, name, reason))
		}
	}
	for name := range fields {
		problems = append(problems, newProblem(object, name, "unknown field; known are "+strings.Join(fieldNames(specType), ", ")))
	}
	problems.sort()
	return spec.Interface(), problems
}

func rawFields(spec json.RawMessage) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(spec) == 0 {
		return fields, nil
	}
	err := json.Unmarshal(spec, &fields)
	if err == nil && fields == nil {
		err = errors.New("it is null")
	}
	return fields, err
}

// decodeValue decodes a value into a field. It returns the reason if the value does not have the
// field's type, and otherwise an empty string.
func decodeValue(raw json.RawMessage, field reflect.Value) string {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return "must not be null"
	}
	err := json.Unmarshal(raw, field.Addr().Interface())
	if err == nil {
		return ""
	}
	return "must be " + describeType(field.Type()) + ", is " + abbreviate(raw)
}

// maxValueText is how many bytes of an invalid value an error quotes.
const maxValueText = 60

func abbreviate(raw json.RawMessage) string {
	if len(raw) > maxValueText {
		return string(raw[:maxValueText]) + "..."
	}
	return string(raw)
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list of strings"
	case reflect.Struct:
		return "a time with offset, for example 2026-01-31T12:00:00Z"
	default:
		return "a string"
	}
}

func fieldName(field reflect.StructField) (name string, optional bool) {
	name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name, strings.Contains(options, "omitempty")
}

func fieldNames(t reflect.Type) []string {
	names := []string{}
	for i := range t.NumField() {
		name, _ := fieldName(t.Field(i))
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func newProblem(object api.Object, field, reason string) Problem {
	return Problem{Kind: object.Kind, Name: object.Name, Field: field, Reason: reason}
}
