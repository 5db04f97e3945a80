// Command fireflychute runs a node of the load balancer.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/pkg/node"
	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/platform"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	// exitUsage means an invalid command line or invalid settings.
	exitUsage = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file in TOML"`
	Without  string `long:"without" value-name:"LIST" env:"FIREFLYCHUTE_WITHOUT" description:"comma-separated mechanisms that 'edge' switches off for an experiment"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

var help = `Runs a node of the load balancer until SIGTERM or SIGINT, which start a graceful shutdown.
With 'check' it validates the settings and the certificates that they name, and exits.
With 'edge' it runs a node on the users' platform; the settings file is the platform's, by default
at the path in the environment variable ` + platform.SettingsVariable + `.

Examples:
  fireflychute --settings /etc/fireflychute/node.toml
  fireflychute check --settings /etc/fireflychute/node.toml`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	var opts options
	parser := flags.NewNamedParser("fireflychute", flags.Default)
	parser.Usage = "[check | edge] --settings FILE"
	parser.LongDescription = help
	_, err := parser.AddGroup("Options", "", &opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	rest, err := parser.ParseArgs(arguments)
	switch {
	case flags.WroteHelp(err):
		return exitSuccess
	case err != nil:
		return exitUsage
	case opts.Version:
		fmt.Println("fireflychute", version())
		return exitSuccess
	case len(rest) == 1 && rest[0] == "edge":
		return runEdgeNode(opts.Settings, opts.Without)
	case opts.Settings == "":
		fmt.Fprintln(os.Stderr, "fireflychute: --settings FILE must be given; see --help")
		return exitUsage
	case len(rest) > 0:
		return checkSettings(opts.Settings, rest)
	default:
		return runNode(opts.Settings)
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// runNode runs a node that operators configure through the resource API. It blocks until the
// node is stopped and returns the exit code.
func runNode(path string) int {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	config, err := settings.Load(path)
	if err != nil {
		log.Error().Err(err).Msg("invalid settings; node not started")
		return exitUsage
	}
	log, err = withLevel(log, config.Log.Level)
	if err != nil {
		log.Error().Err(err).Msg("invalid settings; node not started")
		return exitUsage
	}
	store := platform.NewObjects(config.Platform.URL, nil)
	err = node.Run(config, store, log.With().Str("node", config.Node.Name).Logger())
	if err != nil {
		log.Error().Err(err).Msg("node stopped with an error")
		return exitFailure
	}
	return exitSuccess
}

// withLevel returns a logger that drops lines below the level.
func withLevel(log zerolog.Logger, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	return log.Level(parsed), err
}
