package operator

import (
	"encoding/json"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// nameSet is a set of names that is listed in order.
type nameSet map[string]bool

func (n nameSet) sorted() []string {
	sorted := []string{}
	for name := range n {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}

// trafficImpact collects what a change affects.
type trafficImpact struct {
	before, after                          map[string]api.Object
	services, routes, dataCentres, callers nameSet
}

// affectedTraffic derives the traffic that changes: a service's change affects its
// routes, and a data centre's change of state affects all services.
func affectedTraffic(before, after map[string]api.Object, changes []Change) AffectedTraffic {
	impact := trafficImpact{before: before, after: after, services: nameSet{}, routes: nameSet{}, dataCentres: nameSet{}, callers: nameSet{}}
	for _, change := range changes {
		if change.Action != ActionUnchanged {
			impact.addChange(change)
		}
	}
	return AffectedTraffic{Services: impact.services.sorted(), Routes: impact.routes.sorted(), DataCentres: impact.dataCentres.sorted(), Callers: impact.callers.sorted()}
}

func (r *trafficImpact) addChange(change Change) {
	switch change.Kind {
	case api.KindService:
		r.addService(change.Name)
	case api.KindRoute:
		r.addRoute(change.Name)
	case api.KindWorkKind:
		r.addMatchingRoutes(func(spec api.RouteSpec) bool { return spec.WorkKind == change.Name })
	case api.KindCaller:
		r.callers[change.Name] = true
	case api.KindRollout:
		r.addRollout(change.Kind + "/" + change.Name)
	case api.KindDataCentre:
		r.addDataCentre(change)
	}
}

func (r *trafficImpact) addService(name string) {
	r.services[name] = true
	r.addMatchingRoutes(func(spec api.RouteSpec) bool { return spec.Service == name })
}

func (r *trafficImpact) addRoute(name string) {
	r.routes[name] = true
	r.visitObjects(api.KindRoute, func(object api.Object) {
		if object.Name == name {
			r.services[decodeSpec[api.RouteSpec](object).Service] = true
		}
	})
}

func (r *trafficImpact) addMatchingRoutes(match func(api.RouteSpec) bool) {
	r.visitObjects(api.KindRoute, func(object api.Object) {
		spec := decodeSpec[api.RouteSpec](object)
		if match(spec) {
			r.routes[object.Name] = true
			r.services[spec.Service] = true
		}
	})
}

func (r *trafficImpact) addRollout(key string) {
	r.visitObjects(api.KindRollout, func(object api.Object) {
		if object.Key() == key {
			r.addService(decodeSpec[api.RolloutSpec](object).Service)
		}
	})
}

func (r *trafficImpact) addDataCentre(change Change) {
	r.dataCentres[change.Name] = true
	for _, field := range change.Fields {
		if field.Field == "state" {
			r.visitObjects(api.KindService, func(object api.Object) { r.addService(object.Name) })
		}
	}
}

// visitObjects visits the objects of a kind as they were and as they will be.
func (r *trafficImpact) visitObjects(kind string, visit func(api.Object)) {
	for _, objects := range []map[string]api.Object{r.before, r.after} {
		for _, object := range objects {
			if object.Kind == kind {
				visit(object)
			}
		}
	}
}

func decodeSpec[T any](object api.Object) T {
	var spec T
	_ = json.Unmarshal(object.Spec, &spec)
	return spec
}
