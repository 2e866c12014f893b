package main

import (
	"log/slog"
	"time"

	"github.com/medlarsill/medlarsill/pkg/configlag"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// configPatienceShare is the time in which a change of the configuration usually reaches all
	// instances, as a share of the time in which it must.
	configPatienceShare = 1.0 / 3
	// minConfigPatience bounds that time from below.
	minConfigPatience = 500 * time.Millisecond
)

// newConfigLag returns what reads a configuration that peers have and this instance lacks.
func (p *process) newConfigLag() *configlag.Detector {
	changeTime := time.Duration(p.cfg.ChangeMS) * time.Millisecond
	return configlag.New(configlag.Options{
		Own: p.config.Version, Patience: max(minConfigPatience, time.Duration(configPatienceShare*float64(changeTime))),
		Receiving: func() bool { return p.watches.Receiving(platform.ConfigPrefix) },
		Refresh:   p.config.Refresh,
		State:     func() slog.Attr { return p.watches.State(platform.ConfigPrefix) },
		Metrics:   p.metrics, Log: p.log,
	})
}
