package main

import (
	stdlog "log"
	"os"

	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/edge"
	"github.com/fireflychute/fireflychute/platform"
)

// serveEdge runs a node on the users' platform.
func serveEdge(path string) int {
	log := zerolog.New(os.Stdout).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(edge.LibraryLines(log)) // net/http logs faults of targets by itself
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Error().Err(err).Msg("settings refused")
		return exitUsage
	}
	err = edge.Run(edge.Options{
		Settings:  settings,
		Store:     platform.NewStore(settings.StoreAddress),
		Codec:     platform.Codec{},
		Protocol:  platform.Protocol{},
		ReadyPath: platform.ReadyPath,
		Reload:    func() (edge.Settings, error) { return platform.LoadSettings(path) },
		Log:       log.With().Str("node", settings.Node).Logger(),
	})
	if err != nil {
		log.Error().Err(err).Msg("node ended")
		return exitFailure
	}
	return exitSuccess
}
