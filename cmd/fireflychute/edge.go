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

// logQueueLines is how many lines wait for a slow reader of standard output. Further ones
// are dropped: a request never waits for the log.
const logQueueLines = 1000

// newLogWriter returns a writer that never waits for out.
func newLogWriter(out io.Writer) diode.Writer {
	return diode.NewWriter(out, logQueueLines, 0, reportDropped)
}

func reportDropped(count int) {
	fmt.Fprintf(os.Stderr, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped: standard output is not read\"}\n", count)
}

// runEdgeNode runs a node on the users' platform, without some mechanisms.
func runEdgeNode(path, without string) int {
	logWriter := newLogWriter(os.Stdout)
	defer logWriter.Close()
	log := zerolog.New(logWriter).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(liblog.New(log)) // net/http logs faults of targets by itself
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Error().Err(err).Msg("settings refused")
		return exitUsage
	}
	disabled, err := experiment.Parse(without)
	if err != nil {
		log.Error().Err(err).Msg("list of mechanisms refused")
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
		log.Error().Err(err).Msg("node ended")
		return exitFailure
	}
	return exitSuccess
}
