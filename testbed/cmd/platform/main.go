// Command platform runs the platform stand-in.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/testbed/metastore"
)

type options struct {
	Listen    string  `long:"listen" default:"127.0.0.1:7000" description:"address to listen on"`
	ReadRate  float64 `long:"read-rate" default:"2000" description:"reads per second"`
	WriteRate float64 `long:"write-rate" default:"300" description:"writes per second"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("process", "platform").Logger()
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	server := http.Server{
		Addr:              opts.Listen,
		Handler:           metastore.NewLimitedServer(metastore.New(), opts.ReadRate, opts.WriteRate),
		ReadHeaderTimeout: 5 * time.Second,
	}
	err = server.ListenAndServe()
	log.Fatal().Err(err).Msg("platform stand-in stopped serving")
}
