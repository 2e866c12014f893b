package scaling

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/medlarsill/medlarsill/pkg/routing"
)

// accountLogInterval is the time between two log lines about the cost of a service.
const accountLogInterval = time.Minute

// workCarried is the instance time for which requested work may wait to be counted as used. Instances report
// each 200 ms, and in turn if there are many.
const workCarried = 2 * time.Second

// cause is why an instance was there.
type cause int

const (
	// causeDemand: the demand needs it.
	causeDemand cause = iota
	// causeSpare: a reclaimable instance beyond the demand, for the next reclaim and for rises.
	causeSpare
	// causeShortage: an on-demand instance in place of reclaimable ones that are refused or boot.
	causeShortage
	// causeSurplus: not wanted any more and not yet given back, or leaving.
	causeSurplus
	// causeBooting: ordered and not ready yet.
	causeBooting
	causes
)

// String returns the name of the cause in metrics and logs.
func (c cause) String() string {
	return [causes]string{"demand", "spare", "shortage", "surplus", "booting"}[c]
}

// kindName returns the name of a pool's kind in metrics.
func (p Pool) kindName() string {
	if p.Reclaimable {
		return "reclaimable"
	}
	return "on_demand"
}

// price returns the price of an instance of a pool, in on-demand instances at price 1.
func (p Pool) price(s *routing.Scaling) float64 {
	if p.Reclaimable {
		return s.Prices[p.DataCentre] * s.ReclaimablePrice
	}
	return s.Prices[p.DataCentre]
}

// division holds a number of instances, or their seconds, by cause.
type division [causes]float64

func (d division) total() float64 {
	sum := 0.0
	for _, n := range d {
		sum += n
	}
	return sum
}

// poolCounts holds numbers of instances by pool: wanted ones, those that accept requests, those that leave,
// and those that boot.
type poolCounts struct {
	want, present, leaving, booting map[Pool]int
}

// running returns the number of instances that don't boot.
func (d division) running() float64 { return d.total() - d[causeBooting] }

// divide returns the instances of each pool by cause. Reclaimable instances that run and are wanted are there for
// the demand, in equal parts of each pool, and the rest of them is spare.
func divide(c poolCounts, demand float64) map[Pool]division {
	wanted := 0
	for pool, n := range c.want {
		if pool.Reclaimable {
			wanted += min(n, c.present[pool])
		}
	}
	demandShare := min(1, demand/math.Max(1, float64(wanted)))
	out := make(map[Pool]division, len(c.want))
	for pool, n := range c.want {
		var d division
		kept := min(n, c.present[pool])
		if pool.Reclaimable {
			d[causeDemand], d[causeSpare] = demandShare*float64(kept), (1-demandShare)*float64(kept)
		} else {
			d[causeShortage] = float64(kept)
		}
		d[causeSurplus] = float64(c.present[pool] - kept + c.leaving[pool])
		d[causeBooting] = float64(c.booting[pool])
		out[pool] = d
	}
	return out
}

// account sums the cost of the instances of one service while this process holds the duty.
type account struct {
	// at is when the instances below were counted.
	at        time.Time
	instances map[Pool]division
	// work is the requested work up to then, and waiting the part of it that isn't used up yet.
	work, waiting float64
	// since is when the sums of the next log line began.
	since time.Time
	sums  accountSums
}

// accountSums holds sums since the last log line.
type accountSums struct {
	seconds division
	// byKind holds the seconds and price by kind, priceByDataCentre the price by data centre.
	secondsByKind, priceByKind map[string]float64
	priceByDataCentre          map[string]float64
	// used is the estimated time in which instances were busy.
	used float64
}

func newAccountSums() accountSums {
	return accountSums{secondsByKind: make(map[string]float64), priceByKind: make(map[string]float64), priceByDataCentre: make(map[string]float64)}
}

// advance charges the instances of the time that has passed since the last call, then replaces them. work is
// the total of the requested engine time.
func (a *account) advance(s *routing.Service, instances map[Pool]division, work float64, m *metrics, now time.Time) {
	if a.at.IsZero() {
		a.since, a.sums = now, newAccountSums()
	} else {
		a.waiting += max(0, work-a.work)
		a.chargeAll(s, now.Sub(a.at).Seconds(), m)
	}
	a.at, a.instances, a.work = now, instances, work
}

// chargeAll adds the instances of all pools for a time.
func (a *account) chargeAll(s *routing.Service, elapsed float64, m *metrics) {
	if elapsed <= 0 {
		return
	}
	busy := a.busyShare(elapsed)
	for pool, d := range a.instances {
		a.charge(s.Name, pool, d, pool.price(s.Scaling), elapsed, m)
		a.chargeUse(s.Name, pool, busy*d.running()*elapsed, m)
	}
}

// busyShare estimates the share of the time in which running instances were busy. Reports of work arrive in
// batches, so work that exceeds the time of the instances is carried over, for up to workCarried.
func (a *account) busyShare(elapsed float64) float64 {
	running := 0.0
	for _, d := range a.instances {
		running += d.running()
	}
	if running == 0 {
		return 0
	}
	used := min(a.waiting, running*elapsed)
	a.waiting = min(a.waiting-used, running*workCarried.Seconds())
	return used / (running * elapsed)
}

// charge adds the instances of one pool for a time.
func (a *account) charge(name string, pool Pool, d division, price, elapsed float64, m *metrics) {
	dc, kind := pool.DataCentre, pool.kindName()
	for c, n := range d {
		if n == 0 {
			continue
		}
		m.seconds.WithLabelValues(name, dc, kind, cause(c).String()).Add(n * elapsed)
		m.price.WithLabelValues(name, dc, kind, cause(c).String()).Add(n * elapsed * price)
		a.sums.seconds[c] += n * elapsed
	}
	a.sums.secondsByKind[kind] += d.total() * elapsed
	a.sums.priceByKind[kind] += d.total() * elapsed * price
	a.sums.priceByDataCentre[dc] += d.total() * elapsed * price
}

// chargeUse adds the time in which the instances of a pool were busy.
func (a *account) chargeUse(name string, pool Pool, used float64, m *metrics) {
	m.used.WithLabelValues(name, pool.DataCentre, pool.kindName()).Add(used)
	a.sums.used += used
}

// log writes the sums once per accountLogInterval and begins new ones.
func (a *account) log(log *slog.Logger, name string, fence uint64, now time.Time) {
	if now.Sub(a.since) < accountLogInterval {
		return
	}
	args := []any{"service", name, "span_s", now.Sub(a.since).Seconds(), "used_s", a.sums.used}
	for c, n := range a.sums.seconds {
		args = append(args, cause(c).String()+"_s", n)
	}
	args = append(args, group("seconds", a.sums.secondsByKind), group("price", a.sums.priceByKind), group("price_by_data_centre", a.sums.priceByDataCentre), "fence", fence)
	log.Info("capacity cost", args...)
	a.since, a.sums = now, newAccountSums()
}

// group returns a log group of numbers.
func group(name string, values map[string]float64) slog.Attr {
	var args []any
	for _, key := range slices.Sorted(maps.Keys(values)) {
		args = append(args, key, values[key])
	}
	return slog.Group(name, args...)
}
