// Command medlarsill-load sends seeded traffic of an organisation to the entry
// servers, checks every response and reports the measurements. Its exit code is
// 3 if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/load"
	"github.com/medlarsill/medlarsill/pkg/report"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// Exit codes.
const (
	exitFailure    = 1
	exitSettings   = 2
	exitViolations = 3
)

// idleConns is the maximum number of idle connections kept per host.
const idleConns = 512

type options struct {
	Entries  []string      `long:"entry" required:"true" description:"base URL of an entry, such as http://127.0.0.1:8080; may be repeated"`
	Platform string        `long:"platform" default:"http://127.0.0.1:7000" description:"base URL of the stand-in"`
	Config   string        `long:"config" required:"true" description:"shared configuration of the organisation"`
	Scenario string        `long:"scenario" default:"ordinary" description:"ordinary, peak, maintenance, wave, refused, outage, giant or mixed"`
	Rate     float64       `long:"rate" default:"20" description:"calls per accounted second"`
	Duration time.Duration `long:"duration" default:"100s" description:"length of the run in accounted time"`
	Speed    float64       `long:"speed" default:"10" description:"accounted seconds per second; the same as the stand-in's"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the traffic"`
	MaxCalls int           `long:"max-calls" default:"100000" description:"most calls of a run"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"longest time of one call with all its retries, on the clock"`
	Policy   string        `long:"policy" default:"unnamed" description:"name of what is measured, for the CSV row"`
	CSV      string        `long:"csv" description:"file to which a CSV row is appended"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(exitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r, err := newRun(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	s, err := r.Execute(ctx)
	if err == nil {
		err = writeResults(&o, &s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
	if len(s.Violations) > 0 {
		os.Exit(exitViolations)
	}
}

func newRun(o *options) (*load.Run, error) {
	var doc config.Document
	if err := settings.Load(o.Config, &doc); err != nil {
		return nil, err
	}
	profile, err := load.ProfileFor(&doc)
	if err != nil {
		return nil, err
	}
	scenario, err := load.NewScenario(o.Scenario, &doc, load.Demand{Rate: o.Rate, Duration: o.Duration})
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}
	return &load.Run{
		Scenario: scenario, Profile: profile, Document: &doc, Seed: o.Seed, Speed: o.Speed, MaxCalls: o.MaxCalls,
		Client: load.NewClient(o.Entries, client, o.Timeout), Platform: load.NewPlatformClient(o.Platform, client),
	}, nil
}

func writeResults(o *options, s *load.Summary) error {
	if err := report.WriteText(os.Stdout, s); err != nil {
		return err
	}
	if o.CSV == "" {
		return nil
	}
	f, err := os.OpenFile(o.CSV, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	rows, err := report.NewCSVWriter(f, info.Size() == 0)
	if err != nil {
		return err
	}
	return rows.WriteRow(o.Policy, s)
}
