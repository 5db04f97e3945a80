package configuration

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the model tests, so that each run gives the same
// verdict. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
