package cli

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

type applyCommand struct {
	DryRun     bool    `long:"dry-run" description:"show the difference and the affected traffic without applying"`
	Operation  string  `long:"operation" description:"operation id of an apply that is repeated"`
	IfRevision *uint64 `long:"if-revision" description:"apply only when the configuration still has this revision"`
	Args       struct {
		Paths []string `positional-arg-name:"PATH" required:"1" description:"files or directories"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	result, err := c.env.applyPaths(c.Args.Paths, operator.ApplyRequest{Operation: c.Operation, IfRevision: c.IfRevision}, c.DryRun)
	if err != nil {
		return err
	}
	return c.env.print(result)
}

type diffCommand struct {
	Args struct {
		Paths []string `positional-arg-name:"PATH" required:"1" description:"files or directories"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	result, err := c.env.applyPaths(c.Args.Paths, operator.ApplyRequest{}, true)
	if err != nil {
		return err
	}
	err = c.env.print(result)
	if err != nil {
		return err
	}
	for _, change := range result.Changes {
		if change.Action != operator.ActionUnchanged {
			return errDiffers
		}
	}
	return nil
}

func (e *env) applyPaths(paths []string, request operator.ApplyRequest, dryRun bool) (operator.ApplyResult, error) {
	files, err := readDeclarations(paths)
	if err != nil {
		return operator.ApplyResult{}, err
	}
	for _, file := range files {
		request.Objects = append(request.Objects, file.Objects...)
	}
	result, err := e.client().Apply(e.ctx, request, dryRun)
	var apiErr *operator.Error
	if errors.As(err, &apiErr) {
		addLocations(apiErr.Problems, files)
	}
	return result, err
}

// addLocations adds file and line to the problems that the node found.
func addLocations(problems declare.Problems, files []declare.File) {
	for i := range problems {
		for _, file := range files {
			if file.Locate(&problems[i]) {
				break
			}
		}
	}
}

// readDeclarations decodes files and the .toml and .json files of directories.
func readDeclarations(paths []string) ([]declare.File, error) {
	files := []declare.File{}
	problems := declare.Problems{}
	for _, path := range paths {
		names, err := listFiles(path)
		if err != nil {
			return nil, errors.Wrap(errUsage, err.Error())
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, errors.Wrap(errUsage, err.Error())
			}
			file, err := declare.DecodeFile(name, text)
			var fileProblems declare.Problems
			if errors.As(err, &fileProblems) {
				problems = append(problems, fileProblems...)
			}
			files = append(files, file)
		}
	}
	if len(problems) > 0 {
		return nil, errors.Wrap(errUsage, "\n"+problems.Error()+"\n")
	}
	return files, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names := []string{}
	err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		extension := filepath.Ext(name)
		if err == nil && !entry.IsDir() && (extension == ".toml" || extension == ".json") {
			names = append(names, name)
		}
		return err
	})
	if err == nil && len(names) == 0 {
		err = errors.Errorf("%s holds no .toml or .json file", path)
	}
	return names, err
}

type deleteCommand struct {
	Args objectArguments `positional-args:"yes"`
	env  *env
}

type objectArguments struct {
	Kind string `positional-arg-name:"KIND" required:"yes"`
	Name string `positional-arg-name:"NAME" required:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	resource, _, err := c.env.findResource(c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	result, err := c.env.client().Apply(c.env.ctx, operator.ApplyRequest{Delete: []string{resource.Key()}}, false)
	if err != nil {
		return err
	}
	return c.env.print(result)
}

type dataCentreStateCommand struct {
	DryRun bool `long:"dry-run" description:"show the affected traffic without applying"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
	env   *env
	state string
}

// Execute implements flags.Commander.
func (c *dataCentreStateCommand) Execute([]string) error {
	return c.env.editField(api.KindDataCentre, c.Args.Name, "state", c.state, c.DryRun)
}

type rollBackRolloutCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander.
func (c *rollBackRolloutCommand) Execute([]string) error {
	return c.env.editField(api.KindRollout, c.Args.Name, "state", string(api.RolloutStateRolledBack), false)
}

type startRolloutCommand struct {
	Service          string `long:"service" required:"yes" description:"service to move"`
	From             string `long:"from" required:"yes" description:"version that traffic leaves"`
	To               string `long:"to" required:"yes" description:"version that traffic moves to"`
	CompleteBy       string `long:"complete-by" required:"yes" description:"time at which all traffic is to be moved, for example 2026-01-31T12:00:00Z"`
	MaxUnjudgedShare int    `long:"max-unjudged-share" default:"5" description:"largest share in percent before a verdict"`
	DryRun           bool   `long:"dry-run" description:"show the affected traffic without applying"`
	Args             struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander.
func (c *startRolloutCommand) Execute([]string) error {
	completeBy, err := time.Parse(time.RFC3339, c.CompleteBy)
	if err != nil {
		return errors.Wrap(errUsage, "--complete-by must be a time such as 2026-01-31T12:00:00Z")
	}
	spec, err := json.Marshal(api.RolloutSpec{
		Service: c.Service, From: c.From, To: c.To, CompleteBy: completeBy,
		MaxUnjudgedSharePercent: c.MaxUnjudgedShare, State: api.RolloutStateActive,
	})
	if err != nil {
		return errors.Wrap(err, "encode rollout")
	}
	return c.env.applyObject(api.Object{Kind: api.KindRollout, Name: c.Args.Name, Spec: spec}, c.DryRun)
}

// maxEditAttempts bounds how often an edit is made again after a conflict.
const maxEditAttempts = 5

// editField sets one field of an object that exists. The change demands the revision
// that was read, so that it cannot undo another operator's change.
func (e *env) editField(kind, name, field, value string, dryRun bool) error {
	client := e.client()
	for attempt := 1; ; attempt++ {
		resource, revision, err := e.findResource(kind, name)
		if err != nil {
			return err
		}
		spec, err := setField(resource.Spec, field, value)
		if err != nil {
			return errors.Wrap(err, resource.Key())
		}
		request := operator.ApplyRequest{IfRevision: &revision, Objects: []api.Object{{Kind: kind, Name: name, Spec: spec}}}
		result, err := client.Apply(e.ctx, request, dryRun)
		if err == nil {
			return e.print(result)
		}
		if exitCode(err) != ExitConflict || attempt == maxEditAttempts {
			return err
		}
		client.sleep(e.ctx, retryInterval)
	}
}

func setField(spec json.RawMessage, field, value string) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	err := json.Unmarshal(spec, &fields)
	if err != nil {
		return nil, errors.Wrap(err, "decode spec")
	}
	fields[field] = json.RawMessage(fmt.Sprintf("%q", value))
	return json.Marshal(fields)
}

func (e *env) applyObject(object api.Object, dryRun bool) error {
	result, err := e.client().Apply(e.ctx, operator.ApplyRequest{Objects: []api.Object{object}}, dryRun)
	if err != nil {
		return err
	}
	return e.print(result)
}
