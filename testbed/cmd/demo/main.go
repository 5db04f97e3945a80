// Command demo runs both users' deployments on loopback and checks the promises that the
// load balancer makes to callers and operators. It exits with 1 if a promise was broken, and
// with 2 if the demo could not run.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/testbed/demo"
)

type options struct {
	Bin      string `long:"bin" default:"bin" description:"directory of the binaries"`
	Examples string `long:"examples" default:"examples" description:"directory of the declarations"`
	Only     string `long:"only" description:"name of the deployment to run; all by default"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the load's schedule"`
	Keep     bool   `long:"keep" description:"keep the system running after the report; also with KEEP=1"`
	Logs     string `long:"logs" description:"directory for the output of the processes"`
}

func main() {
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	os.Exit(run(opts))
}

func run(opts options) int {
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	err := demo.Run(ctx, demo.Options{
		Bin: opts.Bin, Examples: opts.Examples, Only: opts.Only, Seed: opts.Seed,
		Keep: opts.Keep || os.Getenv("KEEP") == "1", Logs: opts.Logs,
	}, os.Stdout, log)
	switch {
	case errors.Is(err, demo.ErrPromiseBroken):
		log.Error().Err(err).Msg("demo completed; the checks found broken promises")
		return 1
	case err != nil:
		log.Error().Err(err).Msg("demo could not run to its end")
		return 2
	default:
		return 0
	}
}
