// Command benchrollouts prints how reliably rollouts of good versions complete and
// rollouts of bad versions are rolled back.
package main

import (
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/fireflychute/fireflychute/testbed/rolloutbench"
)

type options struct {
	Rollouts int    `long:"rollouts" default:"200" description:"rollouts of each type"`
	Workers  int    `long:"workers" default:"4" description:"rollouts simulated concurrently"`
	Only     string `long:"only" description:"types whose name contains this"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	table := rolloutbench.NewTable(os.Stdout)
	for _, deployment := range rolloutbench.Deployments {
		for _, kind := range rolloutbench.RolloutTypes {
			if !strings.Contains(kind.Name, opts.Only) {
				continue
			}
			results := rolloutbench.RunMany(deployment, kind, opts.Rollouts, opts.Workers)
			rolloutbench.AddRow(table, deployment, kind, rolloutbench.Summarise(results))
		}
		table.AppendSeparator()
	}
	table.Render()
}
