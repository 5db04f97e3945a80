package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/testbed/fleet"
)

// firstWorkKindIndex is the index of the first work kind in a declaration, after the data centres
// and the first service.
var firstWorkKindIndex = len(fleet.DataCentres) + 1

// Shape of a declaration. The slots and queue are those of the users' examples.
const (
	routesPerService = 8
	slots            = 6
	queue            = 6
)

// declaration returns the data centres, and 12 objects per service: the service, 8 routes, 2 work
// kinds and a caller.
func declaration(services int) []api.Object {
	objects := []api.Object{}
	add := func(kind, name string, spec any) {
		objects = append(objects, api.Object{Kind: kind, Name: name, Generation: 1, Spec: encodeJSON(spec), Status: json.RawMessage("null")})
	}
	for _, name := range fleet.DataCentres {
		add(api.KindDataCentre, name, api.DataCentreSpec{State: api.DataCentreStateIn, CapacityPolicy: api.CapacityPolicyRefuse})
	}
	for i := range services {
		name := serviceName(i)
		add(api.KindService, name, api.ServiceSpec{Slots: slots, Queue: queue, MaxConnections: 260, MeasuringBudget: 2, ReferenceLatencyMs: 20})
		add(api.KindWorkKind, name+"-read", workKind(500))
		add(api.KindWorkKind, name+"-write", api.WorkKindSpec{TimeoutMs: 5000, Weight: 4, Priority: 1})
		add(api.KindCaller, name+"-callers", api.CallerSpec{Weight: 1, CIDRs: []string{fmt.Sprintf("10.%d.0.0/16", i+1)}})
		for route := range routesPerService {
			add(api.KindRoute, fmt.Sprintf("%s-route-%d", name, route), api.RouteSpec{
				PathPrefix: fmt.Sprintf("/%s/%d", name, route), Service: name, WorkKind: name + "-read",
			})
		}
	}
	return objects
}

func workKind(timeoutMs int) api.WorkKindSpec {
	return api.WorkKindSpec{Idempotent: true, TimeoutMs: timeoutMs, Weight: 8}
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// manifestOf returns the manifest of objects, and their specs as blobs by digest.
func manifestOf(objects []api.Object) (api.Manifest, map[string][]byte) {
	manifest := api.Manifest{Entries: api.ManifestEntries{}}
	blobs := map[string][]byte{}
	for _, object := range objects {
		digest := configuration.Digest(object.Spec)
		manifest.Entries[object.Key()] = api.ManifestEntry{Digest: digest, Generation: object.Generation}
		blobs[digest] = object.Spec
	}
	return manifest, blobs
}

// targetVMs returns count targets, assigned to the services in rotation.
func targetVMs(count, services int) []api.VM {
	vms := fleet.Targets("", "v1", 0, count)
	for i := range vms {
		vms[i].Service = serviceName(i % services)
	}
	return vms
}

// encodeJSON returns the JSON encoding of a value. It panics on an encoding error, which the
// project's own types never cause.
func encodeJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
