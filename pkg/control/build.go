package control

import (
	"strings"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/snapshot"
	"github.com/fireflychute/fireflychute/pkg/target"
)

const roleTarget = "target"

// buildSnapshot joins the configuration and the list of VMs.
func buildSnapshot(set *configuration.Set, list api.VMList, local string, countersOf func(string) *target.Counters) *snapshot.Snapshot {
	view := &snapshot.Snapshot{Revision: set.Revision}
	services := map[string]*snapshot.Service{}
	for name, spec := range set.Services {
		services[name] = buildService(name, spec, set, list, local, countersOf)
	}
	for name, spec := range set.Routes {
		view.Routes = append(view.Routes, &snapshot.Route{
			Name: name, Spec: spec, WorkName: spec.WorkKind, Work: set.WorkKinds[spec.WorkKind], Service: services[spec.Service],
		})
	}
	snapshot.SortRoutes(view.Routes)
	return view
}

func buildService(name string, spec api.ServiceSpec, set *configuration.Set, list api.VMList, local string, countersOf func(string) *target.Counters) *snapshot.Service {
	service := &snapshot.Service{Name: name, Spec: spec}
	targets := []*snapshot.Target{}
	for _, vm := range list.VMs {
		if !takesWork(vm, name, set) {
			continue
		}
		units := spec.Slots + spec.Queue
		service.Units += units
		targets = append(targets, &snapshot.Target{
			Address: vm.Address, DataCentre: vm.DataCentre, Version: vm.Version,
			Units: units, Local: vm.DataCentre == local, Counters: countersOf(vm.Address),
		})
	}
	service.Versions = []snapshot.Version{{Share: 1, Targets: targets}}
	return service
}

func takesWork(vm api.VM, service string, set *configuration.Set) bool {
	if vm.Role != roleTarget || vm.Service != service || vm.State != api.VMStateLive {
		return false
	}
	return set.DataCentres[vm.DataCentre].State == api.DataCentreStateIn
}

// splitKey parts kind/name.
func splitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}
