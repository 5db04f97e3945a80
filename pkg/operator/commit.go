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
	// maxAttempts bounds the attempts to plan and commit a change. An attempt that
	// loses a race means that another commit succeeded.
	maxAttempts = 16
	// maxManifestBytes is the platform's size limit for one value.
	maxManifestBytes = 1 << 20
)

// change is a validated apply request with its specs in canonical form.
type change struct {
	operation  string
	objects    []api.Object
	deletions  []string
	ifRevision *uint64
	dryRun     bool
}

// keys returns the keys of all objects that the change writes or deletes.
func (c change) keys() []string {
	keys := append([]string{}, c.deletions...)
	for _, object := range c.objects {
		keys = append(keys, object.Key())
	}
	return keys
}

// committer validates changes and commits them to the store.
type committer struct {
	store   objectstore.Store
	backend Backend
	now     func() time.Time
	// onCommit is called after each commit; may be nil.
	onCommit func(revision uint64, manifest api.Manifest, blobs map[string][]byte)
}

// commit plans a change on the latest manifest and commits it. Errors are of type
// *Error. After a conflict the change is planned again on the newer manifest, but only
// if none of the objects that it writes has changed in the meantime.
func (c *committer) commit(ctx context.Context, change change) (ApplyResult, error) {
	var initial *baseConfig
	// outcomeUnknown is set once a response was lost, so that the commit may have
	// succeeded.
	outcomeUnknown := false
	err := error(nil)
	for range maxAttempts {
		var base baseConfig
		base, err = c.readBase(ctx)
		if errors.Is(err, errBlobCollected) {
			continue
		}
		if err != nil {
			return ApplyResult{}, platformError(change, err, outcomeUnknown)
		}
		record, committed := findOperation(base.manifest, base.revision, change.operation)
		if committed && !change.dryRun {
			return c.loadCommittedResult(ctx, change, record)
		}
		if initial == nil {
			initial = &base
		}
		err = checkPreconditions(change, *initial, base)
		if err != nil {
			return ApplyResult{}, err
		}
		var result ApplyResult
		result, err = c.attempt(ctx, change, base, outcomeUnknown)
		outcomeUnknown = outcomeUnknown || errors.Is(err, objectstore.ErrUnknownOutcome)
		if !isRetryable(err) {
			return result, err
		}
	}
	return ApplyResult{}, platformError(change, errors.Wrapf(err, "gave up after %d attempts", maxAttempts), outcomeUnknown)
}

// isRetryable reports whether an error calls for another attempt on the latest manifest.
// After a lost response the manifest also shows whether the commit succeeded.
func isRetryable(err error) bool {
	return errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrUnknownOutcome)
}

// checkPreconditions returns an error when the base is not at the required revision,
// when an object of the change differs from the initial base, or when an object to
// delete does not exist.
func checkPreconditions(change change, initial, base baseConfig) error {
	conflict := &Error{status: http.StatusConflict, Code: CodeConflict, Revision: base.revision}
	if change.ifRevision != nil && *change.ifRevision != base.revision {
		conflict.Message = "the configuration is no longer at the revision that the request demands"
		return conflict
	}
	for _, key := range change.keys() {
		if initial.manifest.Entries[key] != base.manifest.Entries[key] {
			conflict.Message = key + " was changed by another operator at the same time"
			return conflict
		}
	}
	for _, key := range change.deletions {
		if _, exists := base.manifest.Entries[key]; !exists {
			return notFound(key + " does not exist")
		}
	}
	return nil
}

// attempt plans a change on one base and commits it. objectstore.ErrConflict and
// objectstore.ErrUnknownOutcome call for an attempt on a newer base; other errors are of
// type *Error.
func (c *committer) attempt(ctx context.Context, change change, base baseConfig, outcomeUnknown bool) (ApplyResult, error) {
	p := newPlan(base, change)
	err := c.validate(base, &p)
	if err != nil {
		return ApplyResult{}, err
	}
	result := ApplyResult{Operation: change.operation, Revision: base.revision, DryRun: change.dryRun, Outcome: p.outcome}
	if change.dryRun || !p.changed {
		return result, nil
	}
	err = p.addOperation(change)
	if err != nil {
		return ApplyResult{}, err
	}
	result.Revision, err = c.write(ctx, base, p)
	if isRetryable(err) {
		return ApplyResult{}, err
	}
	if err != nil {
		return ApplyResult{}, platformError(change, err, outcomeUnknown)
	}
	if c.onCommit != nil {
		c.onCommit(result.Revision, p.manifest, p.specsByDigest())
	}
	return result, nil
}

// validate checks the complete resulting configuration and its capacity, and adds
// tolerated capacity problems to the plan as warnings.
func (c *committer) validate(base baseConfig, p *plan) error {
	before := sortedObjects(base.objects)
	err := declare.Validate(p.objects, declare.Context{Now: c.now(), Current: before})
	var problems declare.Problems
	if errors.As(err, &problems) {
		return &Error{status: http.StatusUnprocessableEntity, Code: CodeInvalid, Message: "the resulting configuration is not valid", Problems: problems}
	}
	current, err := configuration.Build(base.revision, before)
	if err != nil {
		return internalError(err)
	}
	proposed, err := configuration.Build(base.revision, p.objects)
	if err != nil {
		return internalError(err)
	}
	rejections := []CapacityProblem{}
	for _, problem := range c.backend.CapacityProblems(current, proposed) {
		if problem.Blocking {
			rejections = append(rejections, problem)
			continue
		}
		p.outcome.Warnings = append(p.outcome.Warnings, problem)
	}
	if len(rejections) > 0 {
		return &Error{status: http.StatusUnprocessableEntity, Code: CodeCapacity, Message: "the change is refused because of its effect on traffic", Capacity: rejections}
	}
	return nil
}

// write stores the blobs and then the manifest. The write of the manifest commits the
// change.
func (c *committer) write(ctx context.Context, base baseConfig, p plan) (uint64, error) {
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
	if base.revision == 0 {
		return c.store.Create(ctx, objectstore.KindManifest, objectstore.ManifestName, value)
	}
	return c.store.Update(ctx, objectstore.KindManifest, objectstore.ManifestName, value, base.revision)
}

// errBlobCollected indicates that, while a manifest was read, it was replaced and one of
// its blobs was garbage-collected.
var errBlobCollected = errors.New("blob of an outdated manifest is gone")

// readBase reads the latest manifest and the specs that it refers to.
func (c *committer) readBase(ctx context.Context) (baseConfig, error) {
	manifest, revision, err := readManifest(ctx, c.store)
	if err != nil {
		return baseConfig{}, err
	}
	base := baseConfig{manifest: manifest, revision: revision, objects: map[string]api.Object{}}
	cached := c.backend.Configuration().Blobs
	for key, entry := range manifest.Entries {
		spec, err := c.readBlob(ctx, cached, entry.Digest)
		if err != nil {
			return baseConfig{}, err
		}
		kind, name, _ := strings.Cut(key, "/")
		base.objects[key] = api.Object{Kind: kind, Name: name, Generation: entry.Generation, Spec: spec}
	}
	return base, nil
}

// readBlob returns a spec from the cache, or from the store if it is not cached.
func (c *committer) readBlob(ctx context.Context, cached map[string][]byte, digest string) ([]byte, error) {
	spec, ok := cached[digest]
	if ok {
		return spec, nil
	}
	object, err := c.store.Get(ctx, objectstore.KindBlob, digest)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, errBlobCollected
	}
	return object.Value, err
}

// loadCommittedResult returns the stored result of an operation that is already
// committed, or an error if the operation id was used for a different request.
func (c *committer) loadCommittedResult(ctx context.Context, change change, record operationRecord) (ApplyResult, error) {
	object, err := c.store.Get(ctx, objectstore.KindBlob, record.outcomeDigest)
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
