package declare

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/fireflychute/fireflychute/pkg/api"
)

const validDeclaration = `
[dataCentre.north]
state = "In"

[service.text]
slots = 6
queue = 6
maxConnections = 260
measuringBudget = 2.0
referenceLatencyMs = 20

[workKind.lookup]
idempotent = true
timeoutMs = 500
priority = 0
weight = 8

[route.labels]
pathPrefix = "/labels"
service = "text"
workKind = "lookup"

[rollout.first]
service = "text"
from = "v1"
to = "v2"
completeBy = 2026-01-02T00:00:00Z
maxUnjudgedSharePercent = 5
state = "Active"
`

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func validateText(t *testing.T, text string, current []api.Object) Problems {
	t.Helper()
	file, err := DecodeFile("gate.toml", []byte(text))
	if err != nil {
		return err.(Problems)
	}
	err = Validate(file.Objects, Context{Now: now, Current: current})
	if err == nil {
		return nil
	}
	return err.(Problems)
}

// Guards against problems that pass, or that are reported without saying where.
func TestReportsEachProblemWithItsLocation(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown kind", "[workKind.lookup]", "[workkind.lookup]", "gate.toml:12: workkind: unknown kind of table"},
		{"unknown field", "slots = 6", "slots = 6\nslot = 7", "gate.toml:7: Service/text.slot: unknown field"},
		{"wrong type", "slots = 6", `slots = "six"`, `gate.toml:6: Service/text.slots: must be an integer, is "six"`},
		{"fraction", "slots = 6", `slots = 6.5`, `Service/text.slots: must be an integer, is 6.5`},
		{"missing field", "slots = 6", "", "gate.toml:5: Service/text.slots: must be set"},
		{"syntax", "slots = 6", "slots = = 6", "gate.toml:6: toml"},
		{"local time", "2026-01-02T00:00:00Z", "2026-01-02T00:00:00", "Rollout/first.completeBy: must be a time with offset"},
		{"unknown service", `service = "text"` + "\nworkKind", `service = "gone"` + "\nworkKind", "Route/labels.service: Service/gone does not exist"},
		{"unknown work kind", `workKind = "lookup"`, `workKind = "look"`, "Route/labels.workKind: WorkKind/look does not exist"},
		{"range", "weight = 8", "weight = 0", "WorkKind/lookup.weight: must be at least 1, is 0"},
		{"budget", "= 2.0", "= 0.0", "Service/text.measuringBudget: must be greater than 0"},
		{"state", `state = "In"`, `state = "in"`, `DataCentre/north.state: must be In or Out, is "in"`},
		{"no data centre", `state = "In"`, `state = "Out"`, "Service/text: has no data centre that is In"},
		{"prefix", `"/labels"`, `"labels"`, "Route/labels.pathPrefix: must start with a slash"},
		{"same version", `to = "v2"`, `to = "v1"`, "Rollout/first.to: must differ"},
		{"past", "2026-01-02T", "2025-01-02T", "Rollout/first.completeBy: must lie in the future"},
		{"share", "Percent = 5", "Percent = 101", "maxUnjudgedSharePercent: must be at most 100, is 101"},
		{"name", "[service.text]", `[service."a/b"]`, "Service/a/b: name must have"},
		{"network", "[dataCentre.north]", "[caller.hall]\ncidrs = [\"127.0.1.9/24\"]\nweight = 1\n[dataCentre.north]", "Caller/hall.cidrs: \"127.0.1.9/24\" must be"},
		{"duplicate route", "[rollout.first]", "[route.other]\npathPrefix = \"/labels\"\nmethods = [\"GET\"]\nservice = \"text\"\nworkKind = \"lookup\"\n[rollout.first]", "Route/other.pathPrefix: takes the same calls as Route/labels"},
		{"two rollouts", "[rollout.first]", "[rollout.a]\nservice = \"text\"\nfrom = \"v1\"\nto = \"v3\"\ncompleteBy = 2026-01-02T00:00:00Z\nmaxUnjudgedSharePercent = 5\nstate = \"Active\"\n[rollout.first]", "Rollout/first.service: already has the active Rollout/a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(strings.Count(validDeclaration, c.old)).To(BeNumerically(">=", 1))
			problems := validateText(t, strings.Replace(validDeclaration, c.old, c.new, 1), nil)
			g.Expect(problems.Error()).To(ContainSubstring(c.want))
		})
	}
}

// Guards against validation that stops at the first problem.
func TestReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	text := strings.NewReplacer("slots = 6", "slots = 0", "weight = 8", "weight = 0", `"/labels"`, `"labels"`).Replace(validDeclaration)
	g.Expect(validateText(t, text, nil)).To(HaveLen(3))
	text = strings.NewReplacer("slots = 6", "slots = true", "weight = 8", "weigth = 0").Replace(validDeclaration)
	g.Expect(validateText(t, text, nil)).To(HaveLen(3), "a wrong type, an unknown field and the missing one")
}

// Guards against a correct set being refused, and against lost defaults.
func TestValidDeclarationGetsDefaults(t *testing.T) {
	g := NewWithT(t)
	g.Expect(validateText(t, validDeclaration, nil)).To(BeEmpty())
	file, err := DecodeFile("gate.toml", []byte(validDeclaration))
	g.Expect(err).NotTo(HaveOccurred())
	spec, err := DecodeSpec(file.Objects[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(spec).To(Equal(api.DataCentreSpec{State: api.DataCentreStateIn, CapacityPolicy: api.CapacityPolicyRefuse}))
	g.Expect(string(file.Objects[0].Spec)).To(ContainSubstring("Refuse"))
}

// Guards against an old rollout blocking every later change once its time has passed.
func TestCurrentRolloutMayBePastItsCompletionTime(t *testing.T) {
	g := NewWithT(t)
	text := strings.Replace(validDeclaration, "2026-01-02T", "2025-01-02T", 1)
	file, _ := DecodeFile("gate.toml", []byte(text))
	g.Expect(validateText(t, text, file.Objects)).To(BeEmpty())
	g.Expect(validateText(t, strings.Replace(text, `"Active"`, `"RolledBack"`, 1), nil)).To(BeEmpty())
	moved := strings.Replace(text, "2025-01-02T", "2025-01-03T", 1)
	g.Expect(validateText(t, moved, file.Objects)).NotTo(BeEmpty())
}

// Guards against JSON declarations that differ from TOML ones.
func TestJSONFile(t *testing.T) {
	g := NewWithT(t)
	file, err := DecodeFile("a.json", []byte(`{"dataCentre":{"north":{"state":"In"}}}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Objects).To(HaveLen(1))
	_, err = DecodeFile("a.json", []byte("{\n\"service\": }"))
	g.Expect(err).To(MatchError(HavePrefix("a.json:2: ")))
}

// Guards against a server's problem losing the place in the operator's file.
func TestLocate(t *testing.T) {
	g := NewWithT(t)
	file, _ := DecodeFile("gate.toml", []byte(validDeclaration))
	problem := Problem{Kind: api.KindService, Name: "text", Field: "queue"}
	g.Expect(file.Locate(&problem)).To(BeTrue())
	g.Expect(problem.Line).To(Equal(7))
}

// Guards against a spec whose digest depends on how it was written down.
func TestCanonicalIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := api.WorkKindSpec{
			Idempotent: rapid.Bool().Draw(t, "idempotent"), TimeoutMs: rapid.IntRange(1, 9).Draw(t, "timeout"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Weight: rapid.IntRange(1, 9).Draw(t, "weight"),
		}
		raw, _ := json.MarshalIndent(spec, "", " ")
		once, err := Canonical(api.Object{Kind: api.KindWorkKind, Spec: raw})
		if err != nil {
			t.Fatal(err)
		}
		twice, err := Canonical(api.Object{Kind: api.KindWorkKind, Spec: once})
		if err != nil || string(once) != string(twice) {
			t.Fatalf("%s differs from %s (%v)", once, twice, err)
		}
	})
}
