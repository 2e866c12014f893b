package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/usage"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// dutyName names the lease under which one instance carries out the duties.
	dutyName = "duties"
	// leaseSlack is added to the shortest time between two holders, as clocks run at different rates.
	leaseSlack = 300 * time.Millisecond
)

const (
	// leasePolls is the number of reads in the duration of a lease by each candidate.
	pollsPerLease = 4
	// candidates is the number of instances that are ready to take the duties over.
	maxCandidates = 2
	// handOverTime bounds the writes that give the lease and the registration up; it
	// is part of the grace of a planned stop.
	handOverTimeout = 150 * time.Millisecond
)

// takeDuties sets up the duties that one instance at a time carries out.
func (p *process) setUpDuties(client *http.Client) {
	duration := time.Duration(p.cfg.LeaseMS)*time.Millisecond + leaseSlack
	p.duty = lease.New(lease.Options{
		Config: lease.Config{
			Self: p.usage.Source, Owner: p.cfg.ID + "@" + p.cfg.Listen, Duration: duration, Poll: duration / pollsPerLease, MinHold: duration,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), WriteID: uuid.NewString,
		},
		Duty: dutyName, Store: p.store, Log: p.log, Now: time.Now,
		Candidate: func(returning bool) bool { return p.ready() && (returning || p.node.Rank() < maxCandidates) },
	})
	calls := platform.NewCloud(p.cfg.CloudAPI, p.cfg.ID, client)
	p.reporter = &usage.Reporter{Ledger: p.usage, Store: p.store, Lease: p.duty, Platform: calls, Log: p.log}
	p.planner = scaling.NewPlanner(scaling.Options{
		Config: p.config, Endpoints: p.table, Load: p.meter, Lease: p.duty, Store: p.store, Platform: calls, Log: p.log, Now: time.Now,
		Speeds: p.scheduler.Speeds, Metrics: p.metrics, FirstStart: p.cfg.FirstStart,
	})
}

// handOver gives the lease and the registration up at the end of a planned stop, so
// that neither the duties nor what is set aside wait until they lapse.
func (p *process) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := p.duty.Release(ctx); err != nil {
			p.log.Warn("duties not handed over", "error", err.Error())
		}
	})
	wg.Go(func() {
		if err := p.registry.Leave(ctx); err != nil {
			p.log.Warn("registration not taken back", "error", err.Error())
		}
	})
	wg.Wait()
}

// dutyActors returns the actors of the duties that the platform asks for.
func (p *process) dutyActors() []actors.Actor {
	wanted := []actors.Actor{p.duty.Run}
	if slices.Contains(p.cfg.Duties, settings.DutyUsage) {
		wanted = append(wanted, p.reporter.Run)
	}
	if slices.Contains(p.cfg.Duties, settings.DutyCapacity) {
		wanted = append(wanted, p.planner.Run)
	}
	return wanted
}
