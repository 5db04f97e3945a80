package operator

import (
	"encoding/json"
	"sort"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// nameSet is a set of object names.
type nameSet map[string]bool

func (n nameSet) sorted() []string {
	sorted := []string{}
	for name := range n {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}

// trafficImpact collects the names of the objects whose traffic a change affects.
type trafficImpact struct {
	before, after                          map[string]api.Object
	services, routes, dataCentres, callers nameSet
}

// affectedTraffic returns the traffic that a list of changes affects. A change of a
// service affects its routes, and a change of a data centre's state affects all services.
func affectedTraffic(before, after map[string]api.Object, changes []Change) AffectedTraffic {
	impact := trafficImpact{before: before, after: after, services: nameSet{}, routes: nameSet{}, dataCentres: nameSet{}, callers: nameSet{}}
	for _, change := range changes {
		if change.Action != ActionUnchanged {
			impact.addChange(change)
		}
	}
	return AffectedTraffic{Services: impact.services.sorted(), Routes: impact.routes.sorted(), DataCentres: impact.dataCentres.sorted(), Callers: impact.callers.sorted()}
}

func (i *trafficImpact) addChange(change Change) {
	switch change.Kind {
	case api.KindService:
		i.addService(change.Name)
	case api.KindRoute:
		i.addRoute(change.Name)
	case api.KindWorkKind:
		i.addMatchingRoutes(func(spec api.RouteSpec) bool { return spec.WorkKind == change.Name })
	case api.KindCaller:
		i.callers[change.Name] = true
	case api.KindRollout:
		i.addRollout(change.Kind + "/" + change.Name)
	case api.KindDataCentre:
		i.addDataCentre(change)
	}
}

func (i *trafficImpact) addService(name string) {
	i.services[name] = true
	i.addMatchingRoutes(func(spec api.RouteSpec) bool { return spec.Service == name })
}

func (i *trafficImpact) addRoute(name string) {
	i.routes[name] = true
	i.visitObjects(api.KindRoute, func(object api.Object) {
		if object.Name == name {
			i.services[decodeSpec[api.RouteSpec](object).Service] = true
		}
	})
}

func (i *trafficImpact) addMatchingRoutes(match func(api.RouteSpec) bool) {
	i.visitObjects(api.KindRoute, func(object api.Object) {
		spec := decodeSpec[api.RouteSpec](object)
		if match(spec) {
			i.routes[object.Name] = true
			i.services[spec.Service] = true
		}
	})
}

func (i *trafficImpact) addRollout(key string) {
	i.visitObjects(api.KindRollout, func(object api.Object) {
		if object.Key() == key {
			i.addService(decodeSpec[api.RolloutSpec](object).Service)
		}
	})
}

func (i *trafficImpact) addDataCentre(change Change) {
	i.dataCentres[change.Name] = true
	for _, field := range change.Fields {
		if field.Field == "state" {
			i.visitObjects(api.KindService, func(object api.Object) { i.addService(object.Name) })
		}
	}
}

// visitObjects visits the objects of a kind, both before and after the change.
func (i *trafficImpact) visitObjects(kind string, visit func(api.Object)) {
	for _, objects := range []map[string]api.Object{i.before, i.after} {
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
