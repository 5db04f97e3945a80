package main

import (
	"fmt"
	"io"
	stdlog "log"
	"os"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/fireflychute/fireflychute/pkg/edge"
	"github.com/fireflychute/fireflychute/pkg/experiment"
	"github.com/fireflychute/fireflychute/pkg/liblog"
	"github.com/fireflychute/fireflychute/platform"
)

// logQueueLines is the number of log lines buffered for a slow reader of standard output.
// Lines beyond it are dropped, so that a request never waits for the log.
const logQueueLines = 1000

// newLogWriter returns a writer that queues lines for out and never blocks. Close stops it.
func newLogWriter(out io.Writer) diode.Writer {
	return diode.NewWriter(out, logQueueLines, 0, reportDropped)
}

func reportDropped(count int) {
	fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped: standard output is not read fast enough\"}\n", count)
}

// runEdgeNode runs a node that reads its configuration from the store of the users' platform. It
// blocks until the node is stopped and returns the exit code. without lists the mechanisms to
// switch off.
func runEdgeNode(path, without string) int {
	logWriter := newLogWriter(os.Stdout)
	defer logWriter.Close()
	log := zerolog.New(logWriter).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(liblog.New(log)) // net/http logs some errors of targets with the standard logger
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Error().Err(err).Msg("invalid settings; node not started")
		return exitUsage
	}
	disabled, err := experiment.Parse(without)
	if err != nil {
		log.Error().Err(err).Msg("invalid --without list; node not started")
		return exitUsage
	}
	err = edge.Run(edge.Options{
		Settings:  settings,
		Store:     platform.NewStore(settings.StoreAddress),
		Codec:     platform.Codec{},
		Protocol:  platform.Protocol{},
		ReadyPath: platform.ReadyPath,
		Disabled:  disabled,
		Reload:    func() (edge.Settings, error) { return platform.LoadSettings(path) },
		Log:       log.With().Str("node", settings.Node).Logger(),
	})
	if err != nil {
		log.Error().Err(err).Msg("node stopped with an error")
		return exitFailure
	}
	return exitSuccess
}
