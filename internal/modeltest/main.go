// Package modeltest runs the tests of a package with a fixed seed for its model tests,
// so that each run gives the same verdict.
package modeltest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Options are the flags of rapid that a package fixes. A flag on the command line
// overrides them.
type Options struct {
	Seed uint64
	// Checks is the number of sequences per test; 0 takes rapid's default.
	Checks int
	// ShrinkTime bounds the search for a shorter failing sequence, as a duration; empty
	// takes rapid's default.
	ShrinkTime string
}

// Main is the body of a package's TestMain.
func Main(m *testing.M, options Options) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	setUnlessExplicit := func(name, value string) {
		if explicit[name] {
			return
		}
		err := flag.Set(name, value)
		if err != nil {
			panic(err) // the package does not import rapid
		}
	}
	setUnlessExplicit("rapid.seed", strconv.FormatUint(options.Seed, 10))
	setUnlessExplicit("rapid.nofailfile", "true")
	if options.Checks > 0 {
		setUnlessExplicit("rapid.checks", strconv.Itoa(options.Checks))
	}
	if options.ShrinkTime != "" {
		setUnlessExplicit("rapid.shrinktime", options.ShrinkTime)
	}
	os.Exit(m.Run())
}
