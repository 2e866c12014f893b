// Command medlarsill-standin simulates the platform and its endpoints in one
// process, for tests and the demo.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/httpserver"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/standin"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

type options struct {
	Listen      string `long:"listen" default:"127.0.0.1:7000" description:"address of the platform's APIs"`
	Config      string `long:"config" required:"true" description:"shared configuration to seed"`
	NoSeed      bool   `long:"no-seed" description:"start without configuration and instances"`
	NoInstances bool   `long:"no-instances" description:"seed the configuration but no instances"`

	Instances map[string]int `long:"instances" description:"SERVICE:NUMBER to seed in place of the preset's minimum; may be repeated"`

	Speed            float64       `long:"speed" default:"10" description:"accounted seconds per second; divides the times of engines"`
	TokenInterval    time.Duration `long:"token-interval" default:"25ms" description:"time between tokens of a request that runs alone, at speed 1"`
	BatchSlowdown    float64       `long:"batch-slowdown" default:"0.08" description:"part by which each further request in a batch lengthens the token interval"`
	PrefillPerToken  time.Duration `long:"prefill" default:"250us" description:"time per prompt token that is not cached, at speed 1"`
	TransferPerToken time.Duration `long:"kv-transfer" default:"10us" description:"time per token of imported KV cache, at speed 1"`
	CacheBudget      int           `long:"cache-budget" default:"65536" description:"prefix cache of an engine, in tokens"`
	LoadLag          time.Duration `long:"load-lag" default:"1s" description:"lag of load reports, at speed 1"`
	EventLag         time.Duration `long:"event-lag" default:"2s" description:"lag of cache events, at speed 1"`
	EventGap         uint64        `long:"event-gap" default:"50" description:"one cache event in this many is lost; 0 loses none"`
	StartDelay       time.Duration `long:"start-delay" default:"20s" description:"time from a start to the load of its models, at speed 1"`
	ModelLoad        time.Duration `long:"model-load" default:"10s" description:"time that the weight store needs per model, at speed 1"`

	ListLag    time.Duration `long:"list-lag" default:"500ms" description:"lag of the instance list"`
	PlainDelay time.Duration `long:"plain-delay" default:"5ms" description:"time that a plain call takes"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the faults of the object API"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(exitSettings)
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := serve(o); err != nil {
		log.Error("stopped", "error", err.Error())
		os.Exit(exitFailure)
	}
}

func serve(o options) error {
	var doc config.Document
	if err := settings.Load(o.Config, &doc); err != nil {
		return err
	}
	p := standin.New(standinOptions(o), &doc)
	defer p.Close()
	if !o.NoSeed {
		if err := p.SeedConfig(); err != nil {
			return err
		}
	}
	if !o.NoSeed && !o.NoInstances {
		if err := p.SeedInstances(); err != nil {
			return err
		}
	}
	e := echo.New()
	p.Register(e)

	server := httpserver.New(o.Listen, e)
	return actors.Run(actors.Signals, func(ctx context.Context) error { return httpserver.Run(ctx, server, time.Second) })
}

func standinOptions(o options) standin.Options {
	return standin.Options{
		Speed: o.Speed, TokenInterval: o.TokenInterval, BatchSlowdown: o.BatchSlowdown, PrefillPerToken: o.PrefillPerToken,
		TransferPerToken: o.TransferPerToken, CacheBudget: o.CacheBudget, LoadLag: o.LoadLag, EventLag: o.EventLag, EventGap: o.EventGap,
		StartDelay: o.StartDelay, ModelLoad: o.ModelLoad, ListLag: o.ListLag, PlainDelay: o.PlainDelay, Seed: o.Seed,
		Instances: o.Instances,
	}
}
