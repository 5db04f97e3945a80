package targets

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless one is given, so that each
// run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	set("rapid.seed", "0", "1")
	set("rapid.nofailfile", "false", "true")
	os.Exit(m.Run())
}

func set(name, unset, value string) {
	if flag.Lookup(name).Value.String() != unset {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
