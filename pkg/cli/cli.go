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
	// ExitFailure is a failure without a code of its own.
	ExitFailure = 1
	// ExitUsage is a wrong command line or a wrong declaration.
	ExitUsage = 2
	// ExitConflict tells that another operator was faster.
	ExitConflict = 3
	// ExitUnavailable tells that no node answered or the platform is down.
	ExitUnavailable = 4
	// ExitTimeout tells that wait ended before the condition held.
	ExitTimeout = 5
	// ExitDiffers tells that diff found a difference.
	ExitDiffers = 6
)

var (
	errUsage   = errors.New("wrong use")
	errTimeout = errors.New("the condition did not hold in time; 'chutectl get' shows the status")
	errDiffers = errors.New("the declaration differs from the configuration")
)

// Options are the flags of all commands.
type Options struct {
	Nodes  []string `long:"node" env:"CHUTECTL_NODES" env-delim:"," default:"http://127.0.0.1:8101" description:"operators' URL of a node; several are tried in order"`
	Output string   `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"form of the output"`
	CA     string   `long:"ca" env:"CHUTECTL_CA" description:"file of the authorities in PEM that certify the nodes"`
	Cert   string   `long:"cert" env:"CHUTECTL_CERT" description:"file of the operator's certificate in PEM"`
	Key    string   `long:"key" env:"CHUTECTL_KEY" description:"file of the certificate's key in PEM"`
}

// env is what the commands work with.
type env struct {
	ctx     context.Context
	options *Options
	out     io.Writer
	// transport is set before a command runs; nil is the default one.
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

// Run runs one command line and returns the exit code.
func Run(ctx context.Context, arguments []string, out, errorOutput io.Writer) int {
	return run(&env{ctx: ctx, out: out, sleep: sleep}, arguments, errorOutput)
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

// newParser returns the parser of all commands, which set e.options.
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
		return "\nLook at the difference with 'chutectl diff' and apply again."
	case ExitUnavailable:
		return "\nTry again, or name other nodes with --node. Repeat an apply with --operation and the id above."
	default:
		return ""
	}
}
