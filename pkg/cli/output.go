package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/balance"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

// commonStatus is what the statuses of rollouts and data centres share.
type commonStatus struct {
	Generation   int
	Phase        api.Phase
	SharePercent *float64
	Decisions    []api.Decision
}

type decisionList []api.Decision

func decodeStatus(resource operator.Resource) commonStatus {
	var status commonStatus
	_ = json.Unmarshal(resource.Status, &status)
	return status
}

// print writes an answer in the form that the operator chose.
func (e *env) print(value any) error {
	if e.options.Output == "json" {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := fmt.Fprintln(e.out, render(value))
	return err
}

func render(value any) string {
	switch value := value.(type) {
	case operator.ApplyResult:
		return renderApplyResult(value)
	case operator.ResourceList:
		return renderResources(value.Items)
	case operator.Resource:
		return renderResource(value)
	case api.FleetStatus:
		return fmt.Sprintf("revision %d\n%s\n%s", value.Revision, renderConditions(value.Conditions), renderNodes(value.Nodes))
	case operator.NodeList:
		return renderNodes(value.Nodes)
	case operator.TargetList:
		return renderTargets(value.Targets)
	case operator.Explanation:
		return renderExplanation(value)
	case decisionList:
		return renderDecisions(value)
	default:
		return fmt.Sprint(value)
	}
}

func newTable(columns ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(columns)
	return writer
}

func renderApplyResult(result operator.ApplyResult) string {
	writer := newTable("kind", "name", "action", "generation", "field", "old", "new")
	for _, change := range result.Changes {
		row := table.Row{change.Kind, change.Name, change.Action, change.Generation}
		if len(change.Fields) == 0 {
			writer.AppendRow(row)
		}
		for _, field := range change.Fields {
			writer.AppendRow(append(append(table.Row{}, row...), field.Field, string(field.Old), string(field.New)))
		}
	}
	lines := []string{writer.Render()}
	lines = append(lines, "affected: services "+joinNames(result.Traffic.Services)+"; routes "+joinNames(result.Traffic.Routes)+
		"; data centres "+joinNames(result.Traffic.DataCentres)+"; callers "+joinNames(result.Traffic.Callers))
	for _, warning := range result.Warnings {
		lines = append(lines, "warning: "+warning.String())
	}
	if result.DryRun {
		return strings.Join(append(lines, fmt.Sprintf("dry run against revision %d; nothing was changed", result.Revision)), "\n")
	}
	return strings.Join(append(lines, fmt.Sprintf("accepted as revision %d (operation %s)", result.Revision, result.Operation)), "\n")
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func renderResources(items []operator.Resource) string {
	writer := newTable("kind", "name", "generation", "phase", "share", "conditions")
	for _, item := range items {
		status := decodeStatus(item)
		share := ""
		if status.SharePercent != nil {
			share = fmt.Sprintf("%g%%", *status.SharePercent)
		}
		writer.AppendRow(table.Row{item.Kind, item.Name, item.Generation, renderPhase(item, status), share, summarizeConditions(item.Conditions)})
	}
	return writer.Render()
}

// renderPhase marks a phase that belongs to an earlier generation, so that the end of
// the previous move is not taken for that of the present one.
func renderPhase(item operator.Resource, status commonStatus) string {
	if status.Generation != 0 && status.Generation < item.Generation {
		return fmt.Sprintf("%s (of generation %d)", status.Phase, status.Generation)
	}
	return string(status.Phase)
}

func summarizeConditions(conditions []api.Condition) string {
	summaries := []string{}
	for _, condition := range conditions {
		summaries = append(summaries, condition.Type+"="+string(condition.Status))
	}
	return strings.Join(summaries, " ")
}

func renderResource(resource operator.Resource) string {
	return renderResources([]operator.Resource{resource}) + "\n" + renderConditions(resource.Conditions) + "\nspec " + string(resource.Spec)
}

func renderConditions(conditions []api.Condition) string {
	writer := newTable("condition", "status", "reason", "since", "message")
	for _, c := range conditions {
		writer.AppendRow(table.Row{c.Type, c.Status, c.Reason, c.LastTransitionTime.Format(time.RFC3339), c.Message})
	}
	return writer.Render()
}

func renderNodes(nodes []api.NodeStatus) string {
	writer := newTable("name", "address", "data centre", "state", "revision")
	for _, n := range nodes {
		writer.AppendRow(table.Row{n.Name, n.Address, n.DataCentre, n.State, n.Revision})
	}
	return writer.Render()
}

func renderTargets(targets []operator.TargetLoad) string {
	writer := newTable("service", "address", "data centre", "version", "state", "units", "in flight", "reported", "report age", "latency")
	for _, t := range targets {
		latency := time.Duration(t.LatencyMicros) * time.Microsecond
		writer.AppendRow(table.Row{t.Service, t.Address, t.DataCentre, t.Version, t.State, t.Units, t.InFlight, t.ReportedLoad, t.ReportAge.Round(time.Millisecond), latency})
	}
	return writer.Render()
}

func renderExplanation(explanation operator.Explanation) string {
	writer := newTable("try", "target", "version", "outcome", "latency", "candidates", "evidence")
	for i, t := range explanation.Attempts {
		latency := time.Duration(t.LatencyMicros) * time.Microsecond
		writer.AppendRow(table.Row{i + 1, t.Target, t.Version, t.Outcome, latency, strings.Join(t.Candidates, "\n"), renderEvidence(t)})
	}
	return fmt.Sprintf("request %s at node %s, %s\nroute %s, caller %s: status %d, outcome %s: %s\n%s",
		explanation.RequestID, explanation.Node, explanation.Time.Format(time.RFC3339Nano), explanation.Route, explanation.Caller, explanation.Status, explanation.Outcome, explanation.Reason, writer.Render())
}

// renderEvidence has a line for each target that the choice compared.
func renderEvidence(attempt operator.Attempt) string {
	var evidence balance.Evidence
	err := json.Unmarshal([]byte(attempt.Evidence), &evidence)
	if err != nil || evidence.Count > len(evidence.Samples) {
		return attempt.Evidence
	}
	lines := []string{fmt.Sprintf("%d with free units, %d avoided for failing, hot above %.1f", evidence.Free, evidence.Ejected, evidence.Threshold)}
	for _, s := range evidence.Samples[:evidence.Count] {
		if s.Index < 0 || s.Index >= len(attempt.Candidates) {
			return attempt.Evidence
		}
		latency := time.Duration(s.LatencyMicros) * time.Microsecond
		lines = append(lines, fmt.Sprintf("%s: load %.1f, score %.1f, latency %s", attempt.Candidates[s.Index], s.Load, s.Score, latency))
	}
	return strings.Join(lines, "\n")
}

func renderDecisions(decisions decisionList) string {
	writer := newTable("time", "node", "action", "reason", "evidence")
	for _, d := range decisions {
		evidence := []string{}
		for _, item := range d.Evidence {
			evidence = append(evidence, fmt.Sprintf("%s: old %d/%d failed, %d slow; new %d/%d failed, %d slow; e-value %g",
				item.Route, item.OldFailures, item.OldRequests, item.OldSlow, item.NewFailures, item.NewRequests, item.NewSlow, item.EValue))
		}
		writer.AppendRow(table.Row{d.Time.Format(time.RFC3339), d.Node, d.Action, d.Reason, strings.Join(evidence, "\n")})
	}
	return writer.Render()
}
