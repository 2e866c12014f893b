package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/standin"
)

// Range and precision of the histograms, in microseconds of accounted time.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Latency is a distribution of accounted times with the share within a target.
type Latency struct {
	histogram *hdrhistogram.Histogram
	within    int64
	// Target is the agreed limit; zero if there is none.
	Target time.Duration
}

func newLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// record adds an accounted time with the target that holds for it.
func (l *Latency) record(d, target time.Duration) {
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
	l.Target = target
	if target == 0 || d <= target {
		l.within++
	}
}

// Count returns the number of recorded times.
func (l *Latency) Count() int64 { return l.histogram.TotalCount() }

// Quantile returns the time at a quantile, 0 to 100.
func (l *Latency) Quantile(q float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}

// Within returns the share of times within the target, 0 to 1.
func (l *Latency) Within() float64 {
	if l.Count() == 0 {
		return 1
	}
	return float64(l.within) / float64(l.Count())
}

// WorkspaceSummary is what one workspace asked for and got.
type WorkspaceSummary struct {
	Workspace string
	Weight    int
	Calls     int
	Done      int
	// DemandedTokens and ServedTokens count answer tokens of model calls.
	DemandedTokens int
	ServedTokens   int
	// FairShare is the part of its fair share that it was served, 0 to 1 or more.
	FairShare float64
}

// Summary is the result of a run.
type Summary struct {
	Scenario string
	Profile  string
	Seed     uint64
	Elapsed  time.Duration
	Calls    int
	Outcomes map[Outcome]int
	Codes    map[string]int
	// FirstToken and BetweenTokens are of streamed model calls, in accounted time.
	FirstToken    *Latency
	BetweenTokens *Latency
	// Plain is the time of calls of plain services on the clock.
	Plain      *Latency
	Workspaces []WorkspaceSummary
	// Jain is the fairness index over the workspaces' parts of their fair shares.
	Jain float64
	// Cost of the model instances and of all, in currency units at the accounted speed.
	ModelCost float64
	Cost      float64
	// LowerBound is the work's instance time at the cheapest reclaimable price,
	// PresetBound that at the cheapest mix that the preset allows.
	LowerBound  float64
	PresetBound float64
	Work        standin.Accounting
	Resumes     int
	Violations  []Violation
	EventErrors []string
}

// Refused returns the number of calls that were refused.
func (s *Summary) Refused() int { return s.Outcomes[OutcomeRefused] }

// summarise sums the results of a run.
func (r *Run) summarise(results []Result, before, after standin.Accounting, elapsed time.Duration) Summary {
	s := Summary{
		Scenario: r.Scenario.Name, Profile: r.Profile.Name, Seed: r.Seed, Elapsed: elapsed, Calls: len(results),
		Outcomes: make(map[Outcome]int), Codes: make(map[string]int),
		FirstToken: newLatency(), BetweenTokens: newLatency(), Plain: newLatency(),
		Work: difference(before, after),
	}
	byWorkspace := make(map[string]*WorkspaceSummary)
	for i := range results {
		s.add(r, &results[i])
		addWorkspace(byWorkspace, r.Document, &results[i])
	}
	for _, w := range byWorkspace {
		s.Workspaces = append(s.Workspaces, *w)
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceSummary) int { return cmp.Compare(a.Workspace, b.Workspace) })
	fairShares(s.Workspaces)
	s.Jain = jain(s.Workspaces)
	r.costs(&s)
	return s
}

func (s *Summary) add(r *Run, result *Result) {
	s.Outcomes[result.Outcome]++
	if result.Outcome != OutcomeDone && result.Code != "" {
		s.Codes[result.Code]++
	}
	s.Resumes += result.Resumes
	if !result.Call.Kind.Model() {
		s.Plain.record(result.Total, 0)
		return
	}
	svc, ok := r.Document.ServiceByModel(result.Call.Model)
	if !ok || result.FirstToken == 0 {
		return
	}
	s.FirstToken.record(accounted(result.FirstToken, r.Speed), milliseconds(svc.FirstTokenTargetMS))
	for _, d := range result.Between {
		s.BetweenTokens.record(accounted(d, r.Speed), milliseconds(svc.BetweenTokensTargetMS))
	}
}

func accounted(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) * speed)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func addWorkspace(all map[string]*WorkspaceSummary, doc *config.Document, result *Result) {
	name := result.Call.Workspace
	if all[name] == nil {
		all[name] = &WorkspaceSummary{Workspace: name, Weight: 1}
		if w, ok := doc.WorkspaceByName(name); ok {
			all[name].Weight = max(w.Weight, 1)
		}
	}
	w := all[name]
	w.Calls++
	if result.Outcome == OutcomeDone {
		w.Done++
	}
	if !result.Call.Kind.Model() {
		return
	}
	tokens := Expect(result.Call).length
	w.DemandedTokens += tokens
	if result.Outcome == OutcomeDone {
		w.ServedTokens += tokens
	}
}

// difference returns what was added to the accounts during a run.
func difference(before, after standin.Accounting) standin.Accounting {
	out := after
	out.Cloud.Cost -= before.Cloud.Cost
	out.Cloud.InstanceHours -= before.Cloud.InstanceHours
	out.Cloud.Starts -= before.Cloud.Starts
	out.Cloud.Refusals -= before.Cloud.Refusals
	out.Cloud.Services = slices.Clone(after.Cloud.Services)
	for i := range out.Cloud.Services {
		for _, b := range before.Cloud.Services {
			if b.Service == out.Cloud.Services[i].Service {
				out.Cloud.Services[i].Cost -= b.Cost
				out.Cloud.Services[i].InstanceHours -= b.InstanceHours
				out.Cloud.Services[i].ReclaimableHours -= b.ReclaimableHours
			}
		}
	}
	out.Work = after.Work.Sub(before.Work)
	return out
}

// costs fills in the cost of the run and its lower bounds.
func (r *Run) costs(s *Summary) {
	s.Cost = s.Work.Cloud.Cost
	for _, account := range s.Work.Cloud.Services {
		svc, ok := r.Document.ServiceByName(account.Service)
		if !ok || svc.Kind != config.KindModel {
			continue
		}
		s.ModelCost += account.Cost
		hours := s.Work.Work.WorkSeconds * r.Speed / time.Hour.Seconds()
		s.LowerBound += hours * cheapest(r.Document, svc.Class, 1)
		s.PresetBound += hours * cheapest(r.Document, svc.Class, r.reclaimableShare(svc.Name))
	}
}

// cheapest returns the lowest price per hour if a share of the hours is reclaimable.
func cheapest(doc *config.Document, class string, share float64) float64 {
	onDemand, reclaimable := 0.0, 0.0
	for _, dc := range doc.DataCentres {
		if p, ok := doc.PriceOf(class, dc.Name, false); ok && (onDemand == 0 || p < onDemand) {
			onDemand = p
		}
		if p, ok := doc.PriceOf(class, dc.Name, true); ok && (reclaimable == 0 || p < reclaimable) {
			reclaimable = p
		}
	}
	return share*reclaimable + (1-share)*onDemand
}

func (r *Run) reclaimableShare(service string) float64 {
	name := r.Document.InitialPreset
	for _, e := range r.Scenario.Events {
		if e.Preset != "" {
			name = e.Preset
		}
	}
	preset, ok := r.Document.PresetByName(name)
	if !ok {
		return 0
	}
	for _, c := range preset.Capacity {
		if c.Service == service {
			return c.ReclaimableShare
		}
	}
	return 0
}
