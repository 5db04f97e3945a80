package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func writeTree(t *testing.T, files map[string]string) string {
	t.Helper()
	tree := t.TempDir()
	for name, content := range files {
		path := filepath.Join(tree, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return tree
}

// Guards against pages that name code, tests or files that were renamed, and against reports of names that exist.
func TestReportsNamesThatTheTreeLacks(t *testing.T) {
	tree := writeTree(t, map[string]string{
		"README.md": "", "DEVELOPERS.md": "", "KNOWN-RED.txt": "TestGone fails",
		"pkg/lease/lease.go": "package lease\n\n// Holder holds a lease; owner is a word.\ntype Holder struct{ rank int }\n\nfunc (h *Holder) Renew() {}\n\nfunc TestKept() {}\n",
		"docs/page.md": "`lease.Holder`, `lease.Holder.rank`, `Holder.Renew`, `TestKept`, `pkg/lease/lease.go` and `make test` exist.\n" +
			"`lease.Owner`, `lease.owner`, `renewTime` and `pkg/lease/gone.go` do not.\n```\n`lease.Owner` in a block\n```\n",
	})
	missing, err := check(tree)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"KNOWN-RED.txt:1: TestGone", "docs/page.md:2: lease.Owner", "docs/page.md:2: lease.owner", "docs/page.md:2: renewTime", "docs/page.md:2: pkg/lease/gone.go"}
	got := make([]string, 0, len(missing))
	for _, name := range missing {
		name, _ = strings.CutPrefix(name, tree+"/")
		name, _ = strings.CutSuffix(name, " does not exist")
		got = append(got, name)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
