// Command chutectl is the operators' tool.
package main

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/api"
	"github.com/fireflychute/fireflychute/pkg/declare"
	"github.com/fireflychute/fireflychute/pkg/operator"
)

type options struct {
	Node  string       `long:"node" default:"http://127.0.0.1:8101" description:"operators' address of a node"`
	Apply applyCommand `command:"apply" description:"apply declarations"`
}

type applyCommand struct {
	Files struct {
		Names []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
	options *options
}

func main() {
	var opts options
	opts.Apply.options = &opts
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(1)
	}
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	request := operator.ApplyRequest{Operation: rand.Text()}
	for _, name := range c.Files.Names {
		objects, err := readDeclaration(name)
		if err != nil {
			return err
		}
		request.Objects = append(request.Objects, objects...)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return post(c.options.Node+"/v1/apply", body)
}

func readDeclaration(name string) ([]api.Object, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read declaration")
	}
	objects, err := declare.Decode(text)
	return objects, errors.Wrap(err, name)
}

func post(url string, body []byte) error {
	answer, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("apply at %s: %s: %s", url, answer.Status, text)
	}
	fmt.Print(string(text))
	return nil
}
