package cli

import (
	"context"
	"fmt"
	"net/url"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

// watchTimeout is how long one call of watch waits at the node.
const watchTimeout = 20 * time.Second

// waitPollInterval is how often wait reads the status when no change is announced: the
// node may have failed to read it when it changed.
const waitPollInterval = 5 * time.Second

type getCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	if c.Args.Name == "" {
		list, err := c.env.listResources(c.Args.Kind)
		if err != nil {
			return err
		}
		return c.env.print(list)
	}
	resource, _, err := c.env.findResource(c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	return c.env.print(resource)
}

func (e *env) listResources(kind string) (operator.ResourceList, error) {
	var list operator.ResourceList
	return list, e.client().Get(e.ctx, "/v1/"+url.PathEscape(kind), &list)
}

// findResource reads an object and the revision of the configuration that holds it.
func (e *env) findResource(kind, name string) (operator.Resource, uint64, error) {
	list, err := e.listResources(kind)
	if err != nil {
		return operator.Resource{}, 0, err
	}
	for _, item := range list.Items {
		if item.Name == name {
			return item, list.Revision, nil
		}
	}
	return operator.Resource{}, 0, errors.Errorf("%s %s does not exist; 'chutectl get %s' lists what does", kind, name, kind)
}

type watchCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander. It ends when the context does.
func (c *watchCommand) Execute([]string) error {
	var last operator.WatchResult
	var err error
	for c.env.ctx.Err() == nil && err == nil {
		last, err = c.printNextChange(last)
	}
	if c.env.ctx.Err() != nil {
		return nil // interrupted by the operator
	}
	return err
}

// printNextChange waits for a change and prints it.
func (c *watchCommand) printNextChange(last operator.WatchResult) (operator.WatchResult, error) {
	result, err := c.env.client().Watch(c.env.ctx, last, watchTimeout)
	if err != nil || !result.Changed {
		return result, err
	}
	list, err := c.env.listResources(c.Args.Kind)
	if err != nil {
		return result, err
	}
	return result, c.env.print(list)
}

type waitCommand struct {
	For     string          `long:"for" required:"yes" description:"phase of the status, or type of a condition that must be True"`
	Timeout time.Duration   `long:"timeout" default:"60s" description:"longest wait; then the exit code is 5"`
	Args    objectArguments `positional-args:"yes"`
	env     *env
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.env.ctx, c.Timeout)
	defer cancel()
	bounded := *c.env
	bounded.ctx = ctx
	var last operator.WatchResult
	for {
		next, err := c.env.client().Watch(ctx, last, min(c.Timeout, waitPollInterval))
		if err == nil {
			last = next
			var resource operator.Resource
			resource, _, err = bounded.findResource(c.Args.Kind, c.Args.Name)
			if err == nil && isSatisfied(resource, c.For) {
				return c.env.print(resource)
			}
		}
		if ctx.Err() != nil {
			return errTimeout
		}
		if err != nil {
			return err
		}
	}
}

// isSatisfied tells whether a status of the present generation has a phase, or the
// object a condition that is True.
func isSatisfied(resource operator.Resource, phaseOrCondition string) bool {
	status := decodeStatus(resource)
	if status.Generation == resource.Generation && string(status.Phase) == phaseOrCondition {
		return true
	}
	for _, condition := range resource.Conditions {
		if condition.Type == phaseOrCondition && condition.Status == api.ConditionStatusTrue {
			return status.Generation == 0 || status.Generation == resource.Generation
		}
	}
	return false
}

type statusCommand struct{ env *env }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var fleet api.FleetStatus
	err := c.env.client().Get(c.env.ctx, "/v1/status", &fleet)
	if err != nil {
		return err
	}
	return c.env.print(fleet)
}

type nodesCommand struct{ env *env }

// Execute implements flags.Commander.
func (c *nodesCommand) Execute([]string) error {
	var nodes operator.NodeList
	err := c.env.client().Get(c.env.ctx, "/v1/nodes", &nodes)
	if err != nil {
		return err
	}
	return c.env.print(nodes)
}

type topCommand struct {
	Service string `long:"service" description:"show only this service"`
	env     *env
}

// Execute implements flags.Commander.
func (c *topCommand) Execute([]string) error {
	var targets operator.TargetList
	err := c.env.client().Get(c.env.ctx, "/v1/top?service="+url.QueryEscape(c.Service), &targets)
	if err != nil {
		return err
	}
	return c.env.print(targets)
}

type explainRequestCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
	env *env
}

// Execute implements flags.Commander. Each node knows its own requests only, so
// all nodes are asked.
func (c *explainRequestCommand) Execute([]string) error {
	lastErr := error(ErrUnreachable)
	for _, node := range c.env.options.Nodes {
		var explanation operator.Explanation
		err := c.env.clientOf([]string{node}).Get(c.env.ctx, "/v1/explain/requests/"+url.PathEscape(c.Args.ID), &explanation)
		if err == nil {
			return c.env.print(explanation)
		}
		lastErr = err
	}
	return lastErr
}

type explainObjectCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
	env  *env
	kind string
}

// Execute implements flags.Commander.
func (c *explainObjectCommand) Execute([]string) error {
	resource, _, err := c.env.findResource(c.kind, c.Args.Name)
	if err != nil {
		return err
	}
	return c.env.print(decisionList(decodeStatus(resource).Decisions))
}

type completionCommand struct{ env *env }

// Execute implements flags.Commander. The flags library completes by itself when
// GO_FLAGS_COMPLETION is set.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprint(c.env.out, `_chutectl() {
    local arguments=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${arguments[@]}"))
}
complete -F _chutectl chutectl
`)
	return err
}

type versionCommand struct{ env *env }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	version := "unknown"
	if ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(c.env.out, "chutectl", version)
	return err
}
