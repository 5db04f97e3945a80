package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
)

// maxApplyAttempts allows for conflicts with concurrent writes of the load balancer or of another
// operator.
const maxApplyAttempts = 5

// Apply applies a declaration file through a node with chutectl. It returns the revision that
// chutectl printed, or 0 if it printed none.
func (f *Fleet) Apply(ctx context.Context, file string) (revision int, err error) {
	for range maxApplyAttempts {
		var out []byte
		cmd := exec.CommandContext(ctx, filepath.Join(f.processes.bin, "chutectl"), "--node", f.operatorURL(), "apply", file)
		out, err = cmd.CombinedOutput()
		if err == nil {
			return parseRevision(out), nil
		}
		err = errors.Wrapf(err, "apply %s: %s", filepath.Base(file), out)
		ctxErr := sleep(ctx, 5*pollInterval)
		if ctxErr != nil {
			return 0, ctxErr
		}
	}
	return 0, err
}

var revisionPattern = regexp.MustCompile(`(?i)revision\D{0,4}(\d+)`)

func parseRevision(out []byte) int {
	match := revisionPattern.FindSubmatch(out)
	if match == nil {
		return 0
	}
	revision, _ := strconv.Atoi(string(match[1]))
	return revision
}

// ApplyText writes a declaration to a file and applies it.
func (f *Fleet) ApplyText(ctx context.Context, name, text string) (revision int, err error) {
	path := filepath.Join(f.dir, f.Name+"-"+name+".toml")
	err = os.WriteFile(path, []byte(text), 0o600)
	if err != nil {
		return 0, errors.Wrap(err, "write declaration")
	}
	return f.Apply(ctx, path)
}

func rolloutTOML(r Rollout, completeBy time.Time) string {
	return fmt.Sprintf("[rollout.%s]\nservice = %q\nfrom = %q\nto = %q\ncompleteBy = %q\nmaxUnjudgedSharePercent = %d\nstate = \"Active\"\n",
		r.Name, r.Service, oldVersion, newVersion, completeBy.UTC().Format(time.RFC3339), r.MaxUnjudgedPercent)
}

func dataCentreTOML(name string, state api.DataCentreState) string {
	return fmt.Sprintf("[dataCentre.%s]\nstate = %q\ncapacityPolicy = \"Refuse\"\n", name, state)
}

// readStatus reads the status of one object through a running node. It returns an error if the
// status is missing or of another generation than the object.
func (f *Fleet) readStatus(ctx context.Context, kind, name string, into any) error {
	var object api.Object
	err := getJSON(ctx, f.operatorURL()+"/v1/"+kind+"/"+name, &object)
	if err != nil {
		return err
	}
	if len(object.Status) == 0 || string(object.Status) == "null" {
		return errors.Errorf("%s/%s has no status", kind, name)
	}
	var observed struct{ Generation int }
	err = json.Unmarshal(object.Status, &observed)
	if err != nil {
		return errors.Wrapf(err, "decode status of %s/%s", kind, name)
	}
	if observed.Generation != object.Generation {
		// A status of the previous generation must not be taken for the current one.
		return errors.Errorf("status of %s/%s has generation %d, the object has %d", kind, name, observed.Generation, object.Generation)
	}
	return errors.Wrapf(json.Unmarshal(object.Status, into), "decode status of %s/%s", kind, name)
}

// RolloutStatus reads a rollout's status.
func (f *Fleet) RolloutStatus(ctx context.Context, name string) (api.RolloutStatus, error) {
	var status api.RolloutStatus
	err := f.readStatus(ctx, api.KindRollout, name, &status)
	return status, err
}

// DataCentreStatus reads a data centre's status.
func (f *Fleet) DataCentreStatus(ctx context.Context, name string) (api.DataCentreStatus, error) {
	var status api.DataCentreStatus
	err := f.readStatus(ctx, api.KindDataCentre, name, &status)
	return status, err
}

// WaitInForce waits until the fleet's status reports a revision in force, and returns the time that
// this took. It does not wait if the node has no status endpoint.
func (f *Fleet) WaitInForce(ctx context.Context, revision int, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		var status api.FleetStatus
		err := getJSON(ctx, f.operatorURL()+"/v1/status", &status)
		if err == nil && status.Revision >= revision && isConditionTrue(status.Conditions, "InForce") {
			return time.Since(start), nil
		}
		if err == nil {
			err = errors.Errorf("revision %d is not in force; the fleet status is for revision %d", revision, status.Revision)
		}
		if time.Since(start) > timeout || errors.Is(err, errNotFound) {
			return 0, err
		}
		ctxErr := sleep(ctx, 2*pollInterval)
		if ctxErr != nil {
			return 0, ctxErr
		}
	}
}

func isConditionTrue(conditions []api.Condition, conditionType string) bool {
	for _, c := range conditions {
		if c.Type == conditionType {
			return c.Status == api.ConditionStatusTrue
		}
	}
	return false
}
