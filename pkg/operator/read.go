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
	kind, ok := kindOf(r.PathValue("kind"))
	if !ok {
		answerError(w, unknownKind(r.PathValue("kind")))
		return
	}
	configuration := s.options.Backend.Configuration()
	found := ResourceList{Revision: configuration.Revision, Items: []Resource{}}
	for key, entry := range configuration.Manifest.Entries {
		if strings.HasPrefix(key, kind+"/") {
			found.Items = append(found.Items, s.resource(configuration, key, entry))
		}
	}
	sort.Slice(found.Items, func(i, j int) bool { return found.Items[i].Name < found.Items[j].Name })
	answer(w, found)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindOf(r.PathValue("kind"))
	if !ok {
		answerError(w, unknownKind(r.PathValue("kind")))
		return
	}
	key := kind + "/" + r.PathValue("name")
	configuration := s.options.Backend.Configuration()
	entry, ok := configuration.Manifest.Entries[key]
	if !ok {
		answerError(w, notFound(key+" does not exist in the configuration that this node has applied"))
		return
	}
	answer(w, s.resource(configuration, key, entry))
}

// resource joins an object's spec with its status. Its conditions are those of
// the status and, for where the configuration is in force, those of the fleet.
func (s *Server) resource(configuration Configuration, key string, entry api.ManifestEntry) Resource {
	kind, name, _ := strings.Cut(key, "/")
	found := Resource{Conditions: []api.Condition{}}
	found.Object = api.Object{Kind: kind, Name: name, Generation: entry.Generation, Spec: configuration.Blobs[entry.Digest]}
	status, ok := s.options.Backend.Status(kind, name)
	if ok {
		found.Status = status
		found.Conditions = append(found.Conditions, conditionsOf(status)...)
	}
	fleet, ok := s.options.Backend.Fleet()
	if ok {
		found.Conditions = append(found.Conditions, fleet.Conditions...)
	}
	return found
}

func conditionsOf(status json.RawMessage) []api.Condition {
	var common struct {
		Conditions []api.Condition `json:"conditions"`
	}
	_ = json.Unmarshal(status, &common)
	return common.Conditions
}

// watch waits until the revision or a status differs from what the operator knows.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	revision, err := number(r, "revision")
	if err != nil {
		answerError(w, err)
		return
	}
	status, err := number(r, "status")
	if err != nil {
		answerError(w, err)
		return
	}
	wait, err := waitTime(r)
	if err != nil {
		answerError(w, err)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changed := s.options.Backend.Changed()
		now := s.options.Backend.Configuration()
		result := WatchResult{Revision: now.Revision, Status: now.StatusVersion}
		result.Changed = revision == nil || *revision != now.Revision || status != nil && *status != now.StatusVersion
		if result.Changed {
			answer(w, result)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, result)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func waitTime(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("timeout")
	if text == "" {
		return maxWatchTime, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, badRequest("timeout must be a duration, for example 10s")
	}
	return min(wait, maxWatchTime), nil
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	fleet, ok := s.options.Backend.Fleet()
	if !ok {
		answerError(w, &Error{
			status: http.StatusServiceUnavailable, Code: CodeNotReady, RetryAfterSeconds: retryAfterSeconds,
			Message: "this node knows no report of the controller yet",
		})
		return
	}
	answer(w, fleet)
}

func (s *Server) nodes(w http.ResponseWriter, _ *http.Request) {
	answer(w, NodeList{Nodes: append([]api.NodeStatus{}, s.options.Backend.Nodes()...)})
}

func (s *Server) top(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	found := TargetList{Targets: []TargetLoad{}}
	for _, load := range s.options.Backend.Targets() {
		if service == "" || load.Service == service {
			found.Targets = append(found.Targets, load)
		}
	}
	sort.Slice(found.Targets, func(i, j int) bool { return busier(found.Targets[i], found.Targets[j]) })
	answer(w, found)
}

func busier(a, b TargetLoad) bool {
	if a.Reported != b.Reported {
		return a.Reported > b.Reported
	}
	if a.InFlight != b.InFlight {
		return a.InFlight > b.InFlight
	}
	return a.Address < b.Address
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	found, ok := s.options.Backend.Explain(id)
	if !ok {
		answerError(w, notFound("this node holds no decision on request "+id+"; ask the node named in the response header Fireflychute-Node"))
		return
	}
	answer(w, found)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	readiness := s.options.Backend.Readiness()
	if !readiness.Ready {
		answerError(w, &Error{status: http.StatusServiceUnavailable, Code: CodeNotReady, Message: readiness.Reason})
		return
	}
	answer(w, readiness)
}
