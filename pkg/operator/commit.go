package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/configuration"
	"github.com/fireflychute/fireflychute/pkg/declare"
	"github.com/fireflychute/fireflychute/pkg/objectstore"
)

const (
	// maxAttempts bounds how often a change is planned again on a newer manifest.
	// Every lost attempt means that another commit succeeded.
	maxAttempts = 16
	// maxManifestBytes is the platform's limit for one value.
	maxManifestBytes = 1 << 20
)

// change is a checked request.
type change struct {
	operation  string
	objects    []api.Object
	remove     []string
	ifRevision *uint64
	dryRun     bool
}

func (c change) keys() []string {
	keys := append([]string{}, c.remove...)
	for _, object := range c.objects {
		keys = append(keys, object.Key())
	}
	return keys
}

// committer turns changes into commits.
type committer struct {
	store   objectstore.Store
	backend Backend
	now     func() time.Time
	// committed is told of each commit; may be nil.
	committed func(revision uint64, manifest api.Manifest, blobs map[string][]byte)
}

// commit plans a change on the newest manifest and commits it. The error is of
// type *Error. After a conflict the change is planned again on the newer
// manifest, but only when no object that it writes was changed in between.
func (c *committer) commit(ctx context.Context, change change) (ApplyResult, error) {
	var first *base
	// uncertain is set once an answer was lost and the commit may have happened.
	uncertain := false
	err := error(nil)
	for range maxAttempts {
		var from base
		from, err = c.readBase(ctx)
		if errors.Is(err, errBlobGone) {
			continue
		}
		if err != nil {
			return ApplyResult{}, platformError(change, err, uncertain)
		}
		record, done := findOperation(from.manifest, from.revision, change.operation)
		if done && !change.dryRun {
			return c.repeated(ctx, change, record)
		}
		if first == nil {
			first = &from
		}
		err = checkBase(change, *first, from)
		if err != nil {
			return ApplyResult{}, err
		}
		var result ApplyResult
		result, err = c.attempt(ctx, change, from, uncertain)
		uncertain = uncertain || errors.Is(err, objectstore.ErrUnknownOutcome)
		if !planAgain(err) {
			return result, err
		}
	}
	return ApplyResult{}, platformError(change, errors.Wrapf(err, "gave up after %d attempts", maxAttempts), uncertain)
}

// planAgain tells whether an error asks for another attempt on the newest
// manifest. After a lost answer the manifest also shows whether the commit happened.
func planAgain(err error) bool {
	return errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrUnknownOutcome)
}

// checkBase refuses a change whose condition does not hold on the base.
func checkBase(change change, first, from base) error {
	conflict := &Error{status: http.StatusConflict, Code: CodeConflict, Revision: from.revision}
	if change.ifRevision != nil && *change.ifRevision != from.revision {
		conflict.Message = "the configuration is no longer at the revision that the request demands"
		return conflict
	}
	for _, key := range change.keys() {
		if first.manifest.Entries[key] != from.manifest.Entries[key] {
			conflict.Message = key + " was changed by another operator at the same time"
			return conflict
		}
	}
	for _, key := range change.remove {
		if _, exists := from.manifest.Entries[key]; !exists {
			return notFound(key + " does not exist")
		}
	}
	return nil
}

// attempt plans a change on one base and commits it. objectstore.ErrConflict and
// objectstore.ErrUnknownOutcome ask for a new base; other errors are of type *Error.
func (c *committer) attempt(ctx context.Context, change change, from base, uncertain bool) (ApplyResult, error) {
	p := newPlan(from, change)
	err := c.check(from, &p)
	if err != nil {
		return ApplyResult{}, err
	}
	result := ApplyResult{Operation: change.operation, Revision: from.revision, DryRun: change.dryRun, Outcome: p.outcome}
	if change.dryRun || !p.changed {
		return result, nil
	}
	err = p.record(change)
	if err != nil {
		return ApplyResult{}, err
	}
	result.Revision, err = c.write(ctx, from, p)
	if planAgain(err) {
		return ApplyResult{}, err
	}
	if err != nil {
		return ApplyResult{}, platformError(change, err, uncertain)
	}
	if c.committed != nil {
		c.committed(result.Revision, p.manifest, p.specs())
	}
	return result, nil
}

// check validates the whole resulting set and its capacity.
func (c *committer) check(from base, p *plan) error {
	before := listObjects(from.objects)
	err := declare.Validate(p.objects, declare.Context{Now: c.now(), Current: before})
	var problems declare.Problems
	if errors.As(err, &problems) {
		return &Error{status: http.StatusUnprocessableEntity, Code: CodeInvalid, Message: "the resulting configuration is not valid", Problems: problems}
	}
	current, err := configuration.Build(from.revision, before)
	if err != nil {
		return internalError(err)
	}
	proposed, err := configuration.Build(from.revision, p.objects)
	if err != nil {
		return internalError(err)
	}
	refusals := []CapacityProblem{}
	for _, problem := range c.backend.CapacityProblems(current, proposed) {
		if problem.Refuse {
			refusals = append(refusals, problem)
			continue
		}
		p.outcome.Warnings = append(p.outcome.Warnings, problem)
	}
	if len(refusals) > 0 {
		return &Error{status: http.StatusUnprocessableEntity, Code: CodeCapacity, Message: "the change is refused because of its effect on traffic", Capacity: refusals}
	}
	return nil
}

// write stores the blobs and then the manifest, which is the commit.
func (c *committer) write(ctx context.Context, from base, p plan) (uint64, error) {
	value, err := json.Marshal(p.manifest)
	if err != nil {
		return 0, internalError(err)
	}
	if len(value) > maxManifestBytes {
		return 0, &Error{status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Message: "the manifest would exceed the platform's limit of 1 MB"}
	}
	for digest, spec := range p.blobs {
		err := writeBlob(ctx, c.store, digest, spec)
		if err != nil {
			return 0, err
		}
	}
	if from.revision == 0 {
		return c.store.Create(ctx, objectstore.KindManifest, objectstore.ManifestName, value)
	}
	return c.store.Update(ctx, objectstore.KindManifest, objectstore.ManifestName, value, from.revision)
}

// errBlobGone tells that the manifest was replaced, and a blob of it collected,
// while it was read.
var errBlobGone = errors.New("blob of an outdated manifest is gone")

func (c *committer) readBase(ctx context.Context) (base, error) {
	manifest, revision, err := readManifest(ctx, c.store)
	if err != nil {
		return base{}, err
	}
	from := base{manifest: manifest, revision: revision, objects: map[string]api.Object{}}
	known := c.backend.Configuration().Blobs
	for key, entry := range manifest.Entries {
		spec, err := c.readBlob(ctx, known, entry.Digest)
		if err != nil {
			return base{}, err
		}
		kind, name, _ := strings.Cut(key, "/")
		from.objects[key] = api.Object{Kind: kind, Name: name, Generation: entry.Generation, Spec: spec}
	}
	return from, nil
}

func (c *committer) readBlob(ctx context.Context, known map[string][]byte, digest string) ([]byte, error) {
	spec, ok := known[digest]
	if ok {
		return spec, nil
	}
	object, err := c.store.Get(ctx, objectstore.KindBlob, digest)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, errBlobGone
	}
	return object.Value, err
}

// repeated answers an operation that is already committed.
func (c *committer) repeated(ctx context.Context, change change, record operationRecord) (ApplyResult, error) {
	object, err := c.store.Get(ctx, objectstore.KindBlob, record.outcome)
	if err != nil {
		return ApplyResult{}, platformError(change, err, true)
	}
	var stored storedOutcome
	err = json.Unmarshal(object.Value, &stored)
	if err != nil {
		return ApplyResult{}, internalError(errors.Wrap(err, "decode outcome"))
	}
	digest, err := requestDigest(change)
	if err != nil {
		return ApplyResult{}, internalError(err)
	}
	if stored.Request != digest {
		return ApplyResult{}, &Error{
			status: http.StatusConflict, Code: CodeOperationReused, Revision: record.revision,
			Message: "operation id " + change.operation + " was already used for a different request",
		}
	}
	return ApplyResult{Operation: change.operation, Revision: record.revision, Outcome: stored.Outcome}, nil
}
