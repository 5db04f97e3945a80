package main

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Guards against a name that leaves the process and is missing from the list, and against texts for people on it: a list
// that lacks names cannot show that a change of wording kept them.
func TestListsNamesButNoTexts(t *testing.T) {
	tree := t.TempDir()
	source := `package a

type settings struct {
	Drain int ` + "`toml:\"drainTimeMs\" description:\"time to wait\"`" + `
	Plain int
}

const header = "X-Outcome"

func log() { line().Str("peer", "x").Msg("stopped"); _ = errors.New("closed") }
`
	files := map[string]string{
		"a/a.go":             source,
		"a/a_test.go":        `package a; const inTest = "left-out"`,
		"schema/api.json":    `{"properties": {"revision": {"enum": ["Out"]}}}`,
		"deploy/system.toml": "# comment\n[edge]\nport = 1\n",
	}
	for name, content := range files {
		path := filepath.Join(tree, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	names, err := collect(tree)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"deploy edge", "deploy port", "field Plain", "schema enum [Out]", "schema revision",
		"string X-Outcome", "string peer", "string x", "tag toml drainTimeMs",
	}
	if got := slices.Sorted(maps.Keys(names)); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
