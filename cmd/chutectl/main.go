// Command chutectl is the command line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fireflychute/fireflychute/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
