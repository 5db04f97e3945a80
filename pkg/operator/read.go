package operator

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/fireflychute/fireflychute/pkg/api"
)

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind, ok := parseKind(r.PathValue("kind"))
	if !ok {
		writeError(w, unknownKind(r.PathValue("kind")))
		return
	}
	configuration := s.options.Backend.Configuration()
	list := ResourceList{Revision: configuration.Revision, Items: []Resource{}}
	for key, entry := range configuration.Manifest.Entries {
		if strings.HasPrefix(key, kind+"/") {
			list.Items = append(list.Items, s.buildResource(configuration, key, entry))
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Name < list.Items[j].Name })
	writeResponse(w, list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := parseKind(r.PathValue("kind"))
	if !ok {
		writeError(w, unknownKind(r.PathValue("kind")))
		return
	}
	key := kind + "/" + r.PathValue("name")
	configuration := s.options.Backend.Configuration()
	entry, ok := configuration.Manifest.Entries[key]
	if !ok {
		writeError(w, notFound(key+" does not exist in the configuration that this node has applied"))
		return
	}
	writeResponse(w, s.buildResource(configuration, key, entry))
}

// buildResource joins an object's spec with its status. The conditions are those of the
// object's status, followed by those of the fleet, which report where the configuration
// is in force.
func (s *Server) buildResource(configuration Configuration, key string, entry api.ManifestEntry) Resource {
	kind, name, _ := strings.Cut(key, "/")
	resource := Resource{Conditions: []api.Condition{}}
	resource.Object = api.Object{Kind: kind, Name: name, Generation: entry.Generation, Spec: configuration.Blobs[entry.Digest]}
	status, ok := s.options.Backend.Status(kind, name)
	if ok {
		resource.Status = status
		resource.Conditions = append(resource.Conditions, decodeConditions(status)...)
	}
	fleet, ok := s.options.Backend.Fleet()
	if ok {
		resource.Conditions = append(resource.Conditions, fleet.Conditions...)
	}
	return resource
}

func decodeConditions(status json.RawMessage) []api.Condition {
	var common struct {
		Conditions []api.Condition `json:"conditions"`
	}
	_ = json.Unmarshal(status, &common)
	return common.Conditions
}

// watch blocks until the revision or the status version differs from the one in the
// query, or until the timeout expires.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	revision, err := parseUintParam(r, "revision")
	if err != nil {
		writeError(w, err)
		return
	}
	status, err := parseUintParam(r, "status")
	if err != nil {
		writeError(w, err)
		return
	}
	timeout, err := parseWatchTimeout(r)
	if err != nil {
		writeError(w, err)
		return
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		changed := s.options.Backend.Changed()
		current := s.options.Backend.Configuration()
		result := WatchResult{Revision: current.Revision, Status: current.StatusVersion}
		result.Changed = revision == nil || *revision != current.Revision || status != nil && *status != current.StatusVersion
		if result.Changed {
			writeResponse(w, result)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeResponse(w, result)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func parseWatchTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("timeout")
	if text == "" {
		return maxWatchTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout < 0 {
		return 0, badRequest("timeout must be a duration, for example 10s")
	}
	return min(timeout, maxWatchTimeout), nil
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	fleet, ok := s.options.Backend.Fleet()
	if !ok {
		writeError(w, &Error{
			status: http.StatusServiceUnavailable, Code: CodeNotReady, RetryAfterSeconds: retryAfterSeconds,
			Message: "this node knows no report of the controller yet",
		})
		return
	}
	writeResponse(w, fleet)
}

func (s *Server) nodes(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, NodeList{Nodes: append([]api.NodeStatus{}, s.options.Backend.Nodes()...)})
}

func (s *Server) top(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	list := TargetList{Targets: []TargetLoad{}}
	for _, load := range s.options.Backend.Targets() {
		if service == "" || load.Service == service {
			list.Targets = append(list.Targets, load)
		}
	}
	sort.Slice(list.Targets, func(i, j int) bool { return isMoreLoaded(list.Targets[i], list.Targets[j]) })
	writeResponse(w, list)
}

// isMoreLoaded orders targets by descending load; ties are broken by address.
func isMoreLoaded(a, b TargetLoad) bool {
	if a.ReportedLoad != b.ReportedLoad {
		return a.ReportedLoad > b.ReportedLoad
	}
	if a.InFlight != b.InFlight {
		return a.InFlight > b.InFlight
	}
	return a.Address < b.Address
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	explanation, ok := s.options.Backend.Explain(id)
	if !ok {
		writeError(w, notFound("this node holds no decision on request "+id+"; ask the node named in the response header Fireflychute-Node"))
		return
	}
	writeResponse(w, explanation)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	readiness := s.options.Backend.Readiness()
	if !readiness.Ready {
		writeError(w, &Error{status: http.StatusServiceUnavailable, Code: CodeNotReady, Message: readiness.Reason})
		return
	}
	writeResponse(w, readiness)
}
