// Command fireflychute runs a node of the load balancer.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/node"
	"github.com/fireflychute/fireflychute/pkg/settings"
)

type options struct {
	Settings string `long:"settings" required:"true" description:"settings file in TOML"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	var opts options
	arguments, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	if len(arguments) > 0 {
		os.Exit(check(opts.Settings, arguments))
	}
	config, err := settings.Load(opts.Settings)
	if err != nil {
		log.Error().Err(err).Msg("settings refused")
		os.Exit(2)
	}
	err = node.Run(config, log.With().Str("node", config.Node.Name).Logger())
	if err != nil {
		log.Error().Err(err).Msg("node ended")
		os.Exit(1)
	}
}
