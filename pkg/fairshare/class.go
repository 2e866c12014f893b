package fairshare

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minAge is the time after the first request of a class before which every workspace is
	// treated as within its fair share. What is usual isn't known earlier.
	minAge = 5 * time.Second
	// planInterval is the time between two plans.
	planInterval = 50 * time.Millisecond
	// quietTime is the time without a workspace over its fair share after which that is logged.
	quietTime = 3 * time.Second
	// meanWeight is the weight of the newest request in the mean work of a request.
	meanWeight = 0.02
	// maxNamed bounds the workspaces that a log line names.
	maxNamed = 5
	// lowestPriority is the lowest priority that is told from others.
	lowestPriority = 9
	// forgottenShare is the usual demand, in requests of mean work, below which a workspace is dropped.
	forgottenShare = 0.001
)

// class holds the counts of one class.
type class struct {
	mu    sync.Mutex
	since time.Time
	// mean is the mean work of a request of this instance.
	mean       float64
	workspaces map[uint32]*demand
	// shortages holds what was refused by priority, and waiting what waited.
	shortages [levels]shortage
	waiting   count
	sources   map[string]*source

	plan      plan
	plannedAt time.Time
	// overAt is when a workspace was last over its fair share, and active is true from then until
	// quietTime has passed.
	overAt time.Time
	active bool
}

// shortage is what was refused of one priority: for lack of capacity, or since it exceeded a fair
// share.
type shortage struct {
	lacking, refused count
}

func newClass(now time.Time) *class {
	return &class{since: now, workspaces: make(map[uint32]*demand), sources: make(map[string]*source)}
}

// shortage returns the shortage of a priority. The caller holds the lock.
func (v *class) shortage(priority int) *shortage {
	return &v.shortages[min(max(priority, 0), lowestPriority)]
}

// workspace returns the demand of a workspace. The caller holds the lock.
func (v *class) workspace(k uint32, now time.Time) *demand {
	d, ok := v.workspaces[k]
	if !ok {
		d = &demand{at: now}
		v.workspaces[k] = d
	}
	return d
}

// arrived records a request of this instance. The caller holds the lock.
func (v *class) arrived(k uint32, r Request, now time.Time) {
	d := v.workspace(k, now)
	d.name = r.Workspace
	d.own += r.Work
	d.add(r.Work, 0, now)
	if v.mean == 0 {
		v.mean = r.Work
	}
	v.mean += meanWeight * (r.Work - v.mean)
}

// refresh makes a new plan if the last one is old. It reports whether workspaces begin or no longer
// are over their fair share. The caller holds the lock.
func (v *class) refresh(now time.Time) (changed bool) {
	if !v.plannedAt.IsZero() && now.Sub(v.plannedAt) < planInterval {
		return false
	}
	v.plannedAt = now
	v.plan = v.newPlan(now)
	if len(v.plan.over) > 0 {
		v.overAt = now
	}
	before := v.active
	v.active = !v.overAt.IsZero() && now.Sub(v.overAt) < quietTime
	return v.active != before
}

// newPlan computes the fair shares. The caller holds the lock.
func (v *class) newPlan(now time.Time) plan {
	age := now.Sub(v.since)
	if age < minAge {
		return plan{}
	}
	lacks := v.lacks(now)
	if lacks.none() {
		return plan{}
	}
	list := make([]share, 0, len(v.workspaces))
	for k, d := range v.workspaces {
		d.advance(now)
		s := share{workspace: k}
		s.recent, s.usual = d.perSecond(age)
		lacks.asked += s.recent
		list = append(list, s)
	}
	return newPlan(list, v.mean*priorRequests/span(age, recentMemory), lacks)
}

// lacks returns what the class lacks now, apart from the demand. The caller holds the lock.
func (v *class) lacks(now time.Time) shortfall {
	f := shortfall{waiting: v.waiting.rate(now)}
	for priority := range v.shortages {
		s := &v.shortages[priority]
		f.lacking[priority] = s.lacking.rate(now)
		f.refused[priority] = s.refused.rate(now)
	}
	return f
}

// overNames returns the names of the workspaces furthest over their fair share while the class is
// active. The caller holds the lock.
func (v *class) overNames() []string {
	if !v.active {
		return nil
	}
	var out []string
	for _, k := range v.plan.over {
		name := "unknown"
		if d, ok := v.workspaces[k]; ok && d.name != "" {
			name = d.name
		}
		out = append(out, name)
		if len(out) == maxNamed {
			break
		}
	}
	return out
}

// drop drops workspaces without demand and counters that are too old to be compared with the next
// value. The caller holds the lock.
func (v *class) drop(heard map[string]time.Time, now time.Time) {
	oldest := now.Sub(v.since) - maxGap
	for name, from := range v.sources {
		if _, ok := heard[name]; !ok {
			delete(v.sources, name)
		}
		maps.DeleteFunc(from.workspaces, func(_ uint32, c counter) bool { return c.at < oldest })
	}
	for k, d := range v.workspaces {
		d.advance(now)
		if d.own == 0 && d.lasting < forgottenShare*v.mean {
			delete(v.workspaces, k)
		}
	}
}

// largest returns the workspaces of this instance's requests, those with the most recent demand
// first. The caller holds the lock.
func (v *class) largest(now time.Time) []uint32 {
	var out []uint32
	for k, d := range v.workspaces {
		d.advance(now)
		if d.own > 0 {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b uint32) int {
		if x, y := v.workspaces[a].recent, v.workspaces[b].recent; x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return int(int64(a) - int64(b))
	})
	return out
}
