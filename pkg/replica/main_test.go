package replica

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the model test, so that each run gives the same
// verdict. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "3000")
	os.Exit(m.Run())
}
