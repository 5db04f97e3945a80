package main

import (
	"fmt"
	"os"

	"github.com/fireflychute/fireflychute/pkg/settings"
	"github.com/fireflychute/fireflychute/pkg/tlsconfig"
)

// checkSettings runs "fireflychute check --settings FILE": it reads the settings and the
// certificates that they name, without starting the node. It returns the exit code.
func checkSettings(path string, arguments []string) int {
	if len(arguments) != 1 || arguments[0] != "check" {
		fmt.Fprintln(os.Stderr, "fireflychute: unknown command; see --help")
		return exitUsage
	}
	config, err := settings.Load(path)
	if err == nil {
		_, _, err = tlsconfig.ForListener(config.Operators.TLS)
	}
	if err == nil {
		_, _, err = tlsconfig.ForListener(config.Peers.TLS)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Println(path + ": correct")
	return exitSuccess
}
