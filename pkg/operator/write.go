package operator

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
)

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	request, err := s.readApply(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	dryRun, err := parseBoolParam(r, "dryRun")
	if err != nil {
		writeError(w, err)
		return
	}
	s.commit(w, r, request, dryRun)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, ok := parseKind(r.PathValue("kind"))
	if !ok {
		writeError(w, unknownKind(r.PathValue("kind")))
		return
	}
	request := ApplyRequest{Operation: r.URL.Query().Get("operation"), Delete: []string{kind + "/" + r.PathValue("name")}}
	revision, err := parseUintParam(r, "ifRevision")
	if err != nil {
		writeError(w, err)
		return
	}
	request.IfRevision = revision
	dryRun, err := parseBoolParam(r, "dryRun")
	if err != nil {
		writeError(w, err)
		return
	}
	s.commit(w, r, request, dryRun)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request, request ApplyRequest, dryRun bool) {
	change, err := newChange(request, dryRun)
	if err != nil {
		writeError(w, err)
		return
	}
	result, err := s.committer.commit(r.Context(), change)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, result)
}

func (s *Server) readApply(w http.ResponseWriter, r *http.Request) (ApplyRequest, error) {
	var request ApplyRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return request, nil
		}
		if err == nil {
			err = errors.New("more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, &Error{
			status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge,
			Message: "the request body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
		}
	}
	return request, badRequest("request body: " + err.Error())
}

// newChange validates a request without regard to the stored configuration and converts
// its specs to canonical form.
func newChange(request ApplyRequest, dryRun bool) (change, error) {
	c := change{operation: request.Operation, ifRevision: request.IfRevision, dryRun: dryRun}
	if c.operation == "" {
		c.operation = rand.Text()
	}
	if !operationPattern.MatchString(c.operation) {
		return c, badRequest("operation must have 1 to 64 letters, digits, '_' or '-'")
	}
	if len(request.Objects)+len(request.Delete) == 0 {
		return c, badRequest("the request names no object")
	}
	problems := declare.Problems{}
	seen := map[string]bool{}
	for _, object := range request.Objects {
		spec, err := declare.Canonical(object)
		var specProblems declare.Problems
		if errors.As(err, &specProblems) {
			problems = append(problems, specProblems...)
			continue
		}
		if err != nil {
			return c, internalError(err)
		}
		if seen[object.Key()] {
			problems = append(problems, declare.Problem{Kind: object.Kind, Name: object.Name, Reason: "is declared more than once"})
		}
		seen[object.Key()] = true
		c.objects = append(c.objects, api.Object{Kind: object.Kind, Name: object.Name, Spec: spec})
	}
	for _, key := range request.Delete {
		kind, name, _ := strings.Cut(key, "/")
		if seen[key] {
			problems = append(problems, declare.Problem{Kind: kind, Name: name, Reason: "is named twice in one request"})
		}
		seen[key] = true
		c.deletions = append(c.deletions, key)
	}
	if len(problems) > 0 {
		return c, &Error{status: http.StatusUnprocessableEntity, Code: CodeInvalid, Message: "the declaration is not valid", Problems: problems}
	}
	sortObjects(c.objects)
	return c, nil
}

// parseKind resolves a kind, ignoring case and accepting the plural: service, Services.
func parseKind(text string) (string, bool) {
	for _, kind := range declare.Kinds() {
		if strings.EqualFold(text, kind) || strings.EqualFold(text, kind+"s") {
			return kind, true
		}
	}
	return "", false
}

func unknownKind(text string) *Error {
	return notFound("unknown kind " + text + "; known are " + strings.Join(declare.Kinds(), ", "))
}

func parseBoolParam(r *http.Request, name string) (bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, badRequest(name + " must be true or false")
	}
	return value, nil
}

// parseUintParam parses an optional query parameter; nil means that it is absent.
func parseUintParam(r *http.Request, name string) (*uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return nil, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest(name + " must be a whole number")
	}
	return &value, nil
}
