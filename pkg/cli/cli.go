package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/operator"
)

// Exit codes of chutectl.
const (
	ExitSuccess = 0
	// ExitFailure is any failure that has no exit code of its own.
	ExitFailure = 1
	// ExitUsage means an invalid command line or declaration.
	ExitUsage = 2
	// ExitConflict means that the configuration was changed concurrently by another operator,
	// or that the operation id was already used for a different change.
	ExitConflict = 3
	// ExitUnavailable means that no node responded, that the node was not ready, that the
	// platform was unavailable or that the outcome of a write is unknown.
	ExitUnavailable = 4
	// ExitTimeout means that wait timed out before the condition was met.
	ExitTimeout = 5
	// ExitDiffers means that diff found a difference.
	ExitDiffers = 6
)

var (
	errUsage   = errors.New("invalid usage")
	errTimeout = errors.New("the condition was not met before the timeout; 'chutectl get' shows the status")
	errDiffers = errors.New("the declarations differ from the applied configuration")
)

// Options are the flags that all commands accept.
type Options struct {
	Nodes  []string `long:"node" env:"CHUTECTL_NODES" env-delim:"," default:"http://127.0.0.1:8101" description:"URL of a node's listener for operators; several are tried in order"`
	Output string   `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"output format"`
	CA     string   `long:"ca" env:"CHUTECTL_CA" description:"PEM file with the certificate authorities that sign the nodes' certificates"`
	Cert   string   `long:"cert" env:"CHUTECTL_CERT" description:"PEM file with the operator's client certificate"`
	Key    string   `long:"key" env:"CHUTECTL_KEY" description:"PEM file with the private key of the client certificate"`
}

// env holds what all commands share: context, options, output and HTTP transport.
type env struct {
	ctx     context.Context
	options *Options
	out     io.Writer
	// transport is set before a command runs; nil selects http.DefaultTransport.
	transport http.RoundTripper
	sleep     func(context.Context, time.Duration)
}

func (e *env) client() *Client {
	return e.clientOf(e.options.Nodes)
}

func (e *env) clientOf(nodes []string) *Client {
	client := NewClient(nodes, e.transport)
	client.sleep = e.sleep
	return client
}

// Run executes one command line and returns its exit code.
func Run(ctx context.Context, arguments []string, out, errorOutput io.Writer) int {
	return run(&env{ctx: ctx, out: out, sleep: waitFor}, arguments, errorOutput)
}

func run(e *env, arguments []string, errorOutput io.Writer) int {
	parser, err := newParser(e)
	if err != nil {
		fmt.Fprintln(errorOutput, err)
		return ExitFailure
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		e.transport, err = e.options.transport()
		if err != nil {
			return err
		}
		return command.Execute(rest)
	}
	_, err = parser.ParseArgs(arguments)
	return reportError(err, e.out, errorOutput)
}

// newParser returns a parser with all commands. Parsing sets e.options.
func newParser(e *env) (*flags.Parser, error) {
	e.options = &Options{}
	parser := flags.NewNamedParser("chutectl", flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.AddGroup("Global options", "", e.options)
	if err != nil {
		return nil, err
	}
	return parser, addCommands(parser, e)
}

func reportError(err error, out, errorOutput io.Writer) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(out, usage.Message)
		return ExitSuccess
	}
	code := exitCode(err)
	if err != nil {
		fmt.Fprintln(errorOutput, "chutectl: "+err.Error()+hint(code))
	}
	return code
}

func exitCode(err error) int {
	var usage *flags.Error
	var apiErr *operator.Error
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage), errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errTimeout):
		return ExitTimeout
	case errors.Is(err, errDiffers):
		return ExitDiffers
	case errors.Is(err, ErrUnreachable):
		return ExitUnavailable
	case errors.As(err, &apiErr):
		return apiExitCode(apiErr.Code)
	default:
		return ExitFailure
	}
}

func apiExitCode(code string) int {
	switch code {
	case operator.CodeConflict, operator.CodeOperationReused:
		return ExitConflict
	case operator.CodePlatformUnavailable, operator.CodeUnknownOutcome, operator.CodeNotReady:
		return ExitUnavailable
	case operator.CodeInvalid, operator.CodeBadRequest, operator.CodeTooLarge:
		return ExitUsage
	default:
		return ExitFailure
	}
}

func hint(code int) string {
	switch code {
	case ExitConflict:
		return "\nCheck the difference with 'chutectl diff', then apply again."
	case ExitUnavailable:
		return "\nTry again, or give other nodes with --node. Repeat an apply with --operation and the operation id above."
	default:
		return ""
	}
}
