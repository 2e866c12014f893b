package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/poison"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/settings"
	"github.com/medlarsill/medlarsill/pkg/usage"
	"github.com/medlarsill/medlarsill/platform"
)

const (
	// dutyName is the name of the lease for the duties.
	dutyName = "duties"
	// leaseSlack is added to the lease duration, as clocks run at different rates.
	leaseSlack = 300 * time.Millisecond
)

const (
	// pollsPerLease is how often each candidate reads the lease within its duration.
	pollsPerLease = 4
	// discoveryTime is the time after its start in which an instance that hears few others is
	// no candidate: it may not know its rank yet.
	discoveryTime = 2 * time.Second
	// maxCandidates is the number of instances that try to acquire a free lease.
	maxCandidates = 2
	// releaseTimeout limits the writes that release the lease and remove the
	// registration. It is part of the grace period of a planned stop.
	releaseTimeout = 150 * time.Millisecond
)

// setUpDuties creates the lease and the duties that its holder carries out.
func (p *process) setUpDuties(client *http.Client) {
	duration := time.Duration(p.cfg.LeaseMS)*time.Millisecond + leaseSlack
	p.dutyLease = lease.New(lease.Options{
		Config: lease.Config{
			Self: p.usage.Source, Owner: p.cfg.ID + "@" + p.cfg.Listen, Duration: duration, Poll: duration / pollsPerLease, MinHold: duration,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), WriteID: uuid.NewString,
		},
		Duty: dutyName, Store: p.store, Log: p.log, Now: time.Now, FirstStart: p.cfg.FirstStart,
		Candidate: func(wasLastHolder bool) bool {
			return p.ready() && (wasLastHolder || !p.discovering() && p.node.Rank() < maxCandidates)
		},
	})
	cloudClient := platform.NewCloud(p.cfg.CloudAPI, p.cfg.ID, client)
	p.reporter = &usage.Reporter{
		Ledger: p.usage, Store: p.store, Lease: p.dutyLease, Platform: cloudClient, Log: p.log,
		FirstStart: p.cfg.FirstStart, StoreRolledBack: p.storeClient.RolledBack,
	}
	p.planner = scaling.NewPlanner(scaling.Options{
		Config: p.config, Endpoints: p.table, Load: p.meter, Lease: p.dutyLease, Store: p.store, Platform: cloudClient, Log: p.log, Now: time.Now,
		Speeds: p.scheduler.Speeds, Metrics: p.metrics, FirstStart: p.cfg.FirstStart,
		ByPrice: p.cfg.CapacityByPrice,
	})
}

// discovering reports whether this instance has started lately and hears few of the others.
func (p *process) discovering() bool {
	return time.Since(p.startedAt) < discoveryTime && (p.node.Members() == 1 || p.isolated())
}

// newQuarantineKeeper returns what keeps in the store what requests have in common that crash
// endpoints, for a start of all instances and for instances that don't reach each other.
func (p *process) newQuarantineKeeper() *poison.Keeper {
	return &poison.Keeper{
		Guard: p.poison, Store: p.store, StoreHistory: p.storeClient.History, Log: p.log, FirstStart: p.cfg.FirstStart, TrueTime: p.clock.Now,
		Writes:     func() bool { return p.node.WriterRank() == 0 },
		Incomplete: func() bool { return p.node.ReachablePeers() < p.node.Members()-1 },
	}
}

// releaseDuties releases the lease and removes the registration at the end of a planned
// stop, so that neither the duties nor this instance's share of the allowances is
// blocked until they expire.
func (p *process) releaseDuties() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := p.dutyLease.Release(ctx); err != nil {
			p.log.Warn("failed to release lease", "error", err.Error())
		}
	})
	wg.Go(func() {
		if err := p.registry.Unregister(ctx); err != nil {
			p.log.Warn("failed to remove registration", "error", err.Error())
		}
	})
	wg.Wait()
}

// dutyComponents returns the lease and the duties in the settings.
func (p *process) dutyComponents() []component {
	list := []component{{"lease", p.dutyLease.Run}}
	if slices.Contains(p.cfg.Duties, settings.DutyUsage) {
		list = append(list, component{"usage reports", p.reporter.Run})
	}
	if slices.Contains(p.cfg.Duties, settings.DutyCapacity) {
		list = append(list, component{"capacity plan", p.planner.Run})
	}
	return list
}
