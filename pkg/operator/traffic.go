package operator

import (
	"encoding/json"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// names is a set of names that is listed in order.
type names map[string]bool

func (n names) list() []string {
	listed := []string{}
	for name := range n {
		listed = append(listed, name)
	}
	sort.Strings(listed)
	return listed
}

// reach collects what a change affects.
type reach struct {
	before, after                        map[string]api.Object
	services, routes, dataCentres, calls names
}

// affected derives the traffic that changes: a service's change affects its
// routes, and a data centre's change of state affects all services.
func affected(before, after map[string]api.Object, changes []Change) Traffic {
	r := reach{before: before, after: after, services: names{}, routes: names{}, dataCentres: names{}, calls: names{}}
	for _, change := range changes {
		if change.Action != ActionUnchanged {
			r.add(change)
		}
	}
	return Traffic{Services: r.services.list(), Routes: r.routes.list(), DataCentres: r.dataCentres.list(), Callers: r.calls.list()}
}

func (r *reach) add(change Change) {
	switch change.Kind {
	case api.KindService:
		r.addService(change.Name)
	case api.KindRoute:
		r.addRoute(change.Name)
	case api.KindWorkKind:
		r.addRoutesOf(func(spec api.RouteSpec) bool { return spec.WorkKind == change.Name })
	case api.KindCaller:
		r.calls[change.Name] = true
	case api.KindRollout:
		r.addRollout(change.Kind + "/" + change.Name)
	case api.KindDataCentre:
		r.addDataCentre(change)
	}
}

func (r *reach) addService(name string) {
	r.services[name] = true
	r.addRoutesOf(func(spec api.RouteSpec) bool { return spec.Service == name })
}

func (r *reach) addRoute(name string) {
	r.routes[name] = true
	r.each(api.KindRoute, func(object api.Object) {
		if object.Name == name {
			r.services[specOf[api.RouteSpec](object).Service] = true
		}
	})
}

func (r *reach) addRoutesOf(match func(api.RouteSpec) bool) {
	r.each(api.KindRoute, func(object api.Object) {
		spec := specOf[api.RouteSpec](object)
		if match(spec) {
			r.routes[object.Name] = true
			r.services[spec.Service] = true
		}
	})
}

func (r *reach) addRollout(key string) {
	r.each(api.KindRollout, func(object api.Object) {
		if object.Key() == key {
			r.addService(specOf[api.RolloutSpec](object).Service)
		}
	})
}

func (r *reach) addDataCentre(change Change) {
	r.dataCentres[change.Name] = true
	for _, field := range change.Fields {
		if field.Field == "state" {
			r.each(api.KindService, func(object api.Object) { r.addService(object.Name) })
		}
	}
}

// each visits the objects of a kind as they were and as they will be.
func (r *reach) each(kind string, visit func(api.Object)) {
	for _, objects := range []map[string]api.Object{r.before, r.after} {
		for _, object := range objects {
			if object.Kind == kind {
				visit(object)
			}
		}
	}
}

func specOf[T any](object api.Object) T {
	var spec T
	_ = json.Unmarshal(object.Spec, &spec)
	return spec
}
