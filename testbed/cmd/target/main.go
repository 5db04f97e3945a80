// Command target runs one target stand-in.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/testbed/target"
)

type options struct {
	Listen       string        `long:"listen" required:"true" description:"address to listen on"`
	Version      string        `long:"version" default:"v1" description:"version that the target runs"`
	Slots        int           `long:"slots" default:"6" description:"requests that run at the same time"`
	Queue        int           `long:"queue" default:"6" description:"requests that may wait"`
	MaxConns     int           `long:"max-conns" default:"260" description:"connections accepted"`
	ConnCost     time.Duration `long:"conn-cost" default:"1ms" description:"slot time per new connection"`
	ServiceTime  time.Duration `long:"service-time" default:"5ms" description:"mean time of a warm request"`
	ColdRequests int           `long:"cold-requests" default:"100" description:"requests served before the target is warm"`
	ReportLag    time.Duration `long:"report-lag" default:"500ms" description:"age of the load shown"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the random source"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("process", "target").Logger()
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	t := target.New(target.Options{
		Version: opts.Version, Slots: opts.Slots, Queue: opts.Queue, MaxConns: opts.MaxConns,
		ConnCost: opts.ConnCost, ServiceTime: opts.ServiceTime, ColdRequests: opts.ColdRequests,
		ReportLag: opts.ReportLag, Seed: opts.Seed,
	}, incarnation())
	server := http.Server{Addr: opts.Listen, Handler: t.Handler(), ConnState: t.ConnState, ReadHeaderTimeout: 5 * time.Second}
	err = server.ListenAndServe()
	log.Fatal().Err(err).Msg("listener ended")
}

// incarnation differs between two starts at the same address.
func incarnation() string {
	return fmt.Sprintf("%x", time.Now().UnixNano())
}
