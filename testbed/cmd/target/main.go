// Command target runs the stand-in of one target.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/fireflychute/fireflychute/testbed/target"
)

type options struct {
	Listen       string        `long:"listen" required:"true" description:"address to listen on"`
	Version      string        `long:"version" default:"v1" description:"version that the target runs"`
	Slots        int           `long:"slots" default:"6" description:"requests that run concurrently"`
	Queue        int           `long:"queue" default:"6" description:"requests that may wait for a slot"`
	MaxConns     int           `long:"max-conns" default:"260" description:"connections accepted"`
	ConnCost     time.Duration `long:"conn-cost" default:"1ms" description:"slot time per new connection"`
	ServiceTime  time.Duration `long:"service-time" default:"5ms" description:"mean service time of a warm target"`
	ColdRequests int           `long:"cold-requests" default:"100" description:"requests served before the target is warm"`
	ReportLag    time.Duration `long:"report-lag" default:"500ms" description:"age of the reported load"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the random source"`
	Log          string        `long:"execution-log" description:"file to which the executions are appended"`
	FailRatio    float64       `long:"fail-ratio" description:"fraction of requests that fail"`
	SlowFactor   float64       `long:"slow-factor" description:"factor on the service time, when above 1"`
}

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("process", "target").Logger()
	var opts options
	_, err := flags.Parse(&opts)
	if err != nil {
		os.Exit(2)
	}
	out, err := openLog(opts.Log)
	if err != nil {
		log.Fatal().Err(err).Msg("cannot start target: execution log cannot be opened")
	}
	t := target.New(target.Options{
		Version: opts.Version, Slots: opts.Slots, Queue: opts.Queue, MaxConns: opts.MaxConns,
		ConnCost: opts.ConnCost, ServiceTime: opts.ServiceTime, ColdRequests: opts.ColdRequests,
		ReportLag: opts.ReportLag, Seed: opts.Seed, Log: out,
		Defect: target.Defect{FailRatio: opts.FailRatio, SlowFactor: opts.SlowFactor},
	}, incarnation())
	server := http.Server{Addr: opts.Listen, Handler: t.Handler(), ConnState: t.ConnState, ReadHeaderTimeout: 5 * time.Second}
	err = server.ListenAndServe()
	log.Fatal().Err(err).Msg("target stand-in stopped serving")
}

func openLog(name string) (target.ExecutionLog, error) {
	if name == "" {
		return target.ExecutionLog{}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return target.ExecutionLog{Out: file}, errors.Wrap(err, "open execution log")
}

// incarnation returns an ID that differs between starts at the same address.
func incarnation() string {
	return fmt.Sprintf("%x", time.Now().UnixNano())
}
