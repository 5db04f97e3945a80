package declare

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const (
	// maxTimeoutMs is one hour. A longer request would exceed every drain time.
	maxTimeoutMs = 3_600_000
	// maxSlots limits slots, queue lengths and connections, so that sums over a fleet's targets
	// stay far below integer overflow.
	maxSlots = 1_000_000
	// maxWeight limits weights and priorities.
	maxWeight = 1_000_000
	// maxMeasuringBudget is in operations per second.
	maxMeasuringBudget = 10_000
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// Context holds the inputs of a validation besides the proposed set.
type Context struct {
	// Now is the time at which the set is proposed.
	Now time.Time
	// Current holds the objects of the current configuration. A rollout counts as new unless it is
	// among them with the same "to" version, completion time and state.
	Current []api.Object
}

// Validate checks a set of objects: each object alone, references between objects, duplicates, and
// that services have a data centre in service. The error is of type Problems and lists all
// problems found.
func Validate(objects []api.Object, context Context) error {
	v := &validator{context: context, specs: map[string]any{}, current: map[string]any{}}
	v.decode(objects)
	for _, object := range v.objects {
		v.checkObject(object, v.specs[object.Key()])
	}
	v.checkRoutes()
	v.checkCallers()
	v.checkRollouts()
	v.checkDataCentres()
	return v.problems.asError()
}

type validator struct {
	context   Context
	objects   []api.Object // proposed objects that could be decoded
	specs     map[string]any
	current   map[string]any
	undecoded map[string]bool // keys of objects that could not be decoded
	problems  Problems
}

func (v *validator) decode(objects []api.Object) {
	for _, object := range v.context.Current {
		spec, err := DecodeSpec(object)
		if err == nil {
			v.current[object.Key()] = spec
		}
	}
	v.undecoded = map[string]bool{}
	for _, object := range objects {
		if !namePattern.MatchString(object.Name) {
			v.report(object, "", "name must have 1 to 63 letters, digits, '.', '_' or '-' and start and end with a letter or digit")
		}
		if _, duplicate := v.specs[object.Key()]; duplicate || v.undecoded[object.Key()] {
			v.report(object, "", "is declared more than once")
			continue
		}
		spec, problems := decodeFields(object, true)
		v.problems = append(v.problems, problems...)
		if len(problems) > 0 {
			v.undecoded[object.Key()] = true
			continue
		}
		v.specs[object.Key()] = spec
		v.objects = append(v.objects, object)
	}
}

func (v *validator) report(object api.Object, field, reason string) {
	v.problems = append(v.problems, newProblem(object, field, reason))
}

func (v *validator) checkObject(object api.Object, spec any) {
	switch spec := spec.(type) {
	case api.ServiceSpec:
		v.checkService(object, spec)
	case api.DataCentreSpec:
		v.checkEnum(object, "state", string(spec.State), "In", "Out")
		v.checkEnum(object, "capacityPolicy", string(spec.CapacityPolicy), "Refuse", "Warn")
	case api.RouteSpec:
		v.checkRoute(object, spec)
	case api.WorkKindSpec:
		v.checkRange(object, "timeoutMs", spec.TimeoutMs, 1, maxTimeoutMs)
		v.checkRange(object, "priority", spec.Priority, 0, maxWeight)
		v.checkRange(object, "weight", spec.Weight, 1, maxWeight)
		v.checkRange(object, "maxBodyBytes", spec.MaxBodyBytes, 0, math.MaxInt)
	case api.CallerSpec:
		v.checkRange(object, "weight", spec.Weight, 1, maxWeight)
	case api.RolloutSpec:
		v.checkRollout(object, spec)
	}
}

func (v *validator) checkService(object api.Object, spec api.ServiceSpec) {
	v.checkRange(object, "slots", spec.Slots, 1, maxSlots)
	v.checkRange(object, "queue", spec.Queue, 0, maxSlots)
	v.checkRange(object, "maxConnections", spec.MaxConnections, 1, maxSlots)
	v.checkRange(object, "referenceLatencyMs", spec.ReferenceLatencyMs, 1, maxTimeoutMs)
	if !(spec.MeasuringBudget > 0 && spec.MeasuringBudget <= maxMeasuringBudget) {
		v.report(object, "measuringBudget", "must be greater than 0 and at most 10000 operations per second")
	}
}

func (v *validator) checkRoute(object api.Object, spec api.RouteSpec) {
	if !strings.HasPrefix(spec.PathPrefix, "/") || strings.ContainsAny(spec.PathPrefix, "?# ") {
		v.report(object, "pathPrefix", "must start with a slash and hold no space, '?' or '#'")
	}
	seen := map[string]bool{}
	for _, method := range spec.Methods {
		if !methodPattern.MatchString(method) {
			v.report(object, "methods", "method "+quote(method)+" must be in capital letters")
		}
		if seen[method] {
			v.report(object, "methods", "method "+quote(method)+" is listed twice")
		}
		seen[method] = true
	}
	v.checkReference(object, "service", api.KindService, spec.Service)
	v.checkReference(object, "workKind", api.KindWorkKind, spec.WorkKind)
}

func (v *validator) checkRollout(object api.Object, spec api.RolloutSpec) {
	v.checkReference(object, "service", api.KindService, spec.Service)
	v.checkEnum(object, "state", string(spec.State), "Active", "RolledBack")
	v.checkRange(object, "maxUnjudgedSharePercent", spec.MaxUnjudgedSharePercent, 1, 100)
	if spec.From == "" {
		v.report(object, "from", "must not be empty")
	}
	if spec.To == "" {
		v.report(object, "to", "must not be empty")
	}
	if spec.From == spec.To && spec.To != "" {
		v.report(object, "to", "must differ from the version that traffic leaves")
	}
	if v.isNew(object.Key(), spec) && !spec.CompleteBy.After(v.context.Now) {
		v.report(object, "completeBy", "must lie in the future for a new rollout, is "+spec.CompleteBy.Format(time.RFC3339))
	}
}

// isNew reports whether this set starts or changes an active rollout. Only then must the
// completion time lie in the future: a current rollout stays valid after that time.
func (v *validator) isNew(key string, spec api.RolloutSpec) bool {
	if spec.State != api.RolloutStateActive {
		return false
	}
	old, ok := v.current[key].(api.RolloutSpec)
	return !ok || old.State != spec.State || old.To != spec.To || !old.CompleteBy.Equal(spec.CompleteBy)
}

func (v *validator) checkRoutes() {
	for i, object := range v.objects {
		spec, ok := v.specs[object.Key()].(api.RouteSpec)
		if !ok {
			continue
		}
		for _, other := range v.objects[:i] {
			otherSpec, ok := v.specs[other.Key()].(api.RouteSpec)
			if ok && otherSpec.PathPrefix == spec.PathPrefix && methodsOverlap(otherSpec.Methods, spec.Methods) {
				v.report(object, "pathPrefix", "takes the same calls as Route/"+other.Name)
			}
		}
	}
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	for _, method := range a {
		for _, other := range b {
			if method == other {
				return true
			}
		}
	}
	return false
}

func (v *validator) checkCallers() {
	owners := map[netip.Prefix]string{}
	for _, object := range v.objects {
		spec, ok := v.specs[object.Key()].(api.CallerSpec)
		if !ok {
			continue
		}
		if len(spec.CIDRs) == 0 {
			v.report(object, "cidrs", "must list at least one network")
		}
		for _, text := range spec.CIDRs {
			v.checkNetwork(object, text, owners)
		}
	}
}

func (v *validator) checkNetwork(object api.Object, text string, owners map[netip.Prefix]string) {
	prefix, err := netip.ParsePrefix(text)
	if err != nil || prefix != prefix.Masked() {
		v.report(object, "cidrs", quote(text)+" must be a network address with prefix length, for example 10.1.0.0/16")
		return
	}
	if owner, exists := owners[prefix]; exists {
		v.report(object, "cidrs", text+" already belongs to Caller/"+owner)
		return
	}
	owners[prefix] = object.Name
}

func (v *validator) checkRollouts() {
	active := map[string]string{}
	for _, object := range v.objects {
		spec, ok := v.specs[object.Key()].(api.RolloutSpec)
		if !ok || spec.State != api.RolloutStateActive {
			continue
		}
		if other, exists := active[spec.Service]; exists {
			v.report(object, "service", "already has the active Rollout/"+other)
			continue
		}
		active[spec.Service] = object.Name
	}
}

// checkDataCentres reports every service if no data centre is in service. Targets are not part of
// a declaration, so each data centre counts for all services.
func (v *validator) checkDataCentres() {
	for _, object := range v.objects {
		spec, ok := v.specs[object.Key()].(api.DataCentreSpec)
		if ok && spec.State == api.DataCentreStateIn {
			return
		}
	}
	for _, object := range v.objects {
		if object.Kind == api.KindService {
			v.report(object, "", "has no data centre that is In")
		}
	}
}

func (v *validator) checkReference(object api.Object, field, kind, name string) {
	key := kind + "/" + name
	if _, ok := v.specs[key]; ok || v.undecoded[key] {
		return
	}
	v.report(object, field, key+" does not exist")
}

func (v *validator) checkRange(object api.Object, field string, value, low, high int) {
	if value >= low && value <= high {
		return
	}
	reason := fmt.Sprintf("must be at least %d, is %d", low, value)
	if value > high {
		reason = fmt.Sprintf("must be at most %d, is %d", high, value)
	}
	v.report(object, field, reason)
}

func (v *validator) checkEnum(object api.Object, field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	v.report(object, field, "must be "+strings.Join(allowed, " or ")+", is "+quote(value))
}

func quote(text string) string {
	return `"` + text + `"`
}
