// Command settingsdoc writes the reference page of the node settings, and their
// defaults and ranges as Go code, from schema/settings.json.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type options struct {
	Schema string `long:"schema" required:"true" description:"schema of the settings"`
	Page   string `long:"page" required:"true" description:"page to write in Markdown"`
	Code   string `long:"code" required:"true" description:"Go file to write"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	err = run(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "settingsdoc:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	text, err := os.ReadFile(opts.Schema)
	if err != nil {
		return errors.Wrap(err, "read schema")
	}
	var schema schemaNode
	err = json.Unmarshal(text, &schema)
	if err != nil {
		return errors.Wrap(err, "decode schema")
	}
	tables := flatten(&schema)
	err = os.WriteFile(opts.Page, []byte(renderPage(tables)), 0o644)
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	return errors.Wrap(os.WriteFile(opts.Code, []byte(renderCode(tables)), 0o644), "write code")
}
