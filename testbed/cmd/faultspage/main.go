// Command faultspage renders the fault matrix page from the records of a test run.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/testbed/faultmatrix"
)

type options struct {
	Records string `long:"records" required:"true" description:"file with the records of the tests"`
	Output  string `long:"output" default:"docs/FAULTS.md" description:"page to write"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	err = render(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultspage:", err)
		os.Exit(1)
	}
}

func render(opts options) error {
	records, err := os.Open(opts.Records)
	if err != nil {
		return errors.Wrap(err, "open records")
	}
	defer records.Close()
	page, err := faultmatrix.Read(records)
	if err != nil {
		return err
	}
	output, err := os.Create(opts.Output)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	err = page.Write(output)
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	return output.Close()
}
