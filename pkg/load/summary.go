package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/standin"
)

// Upper limit (in microseconds of simulated time) and precision of the histograms.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Latency is a distribution of durations with the share within a target.
type Latency struct {
	histogram *hdrhistogram.Histogram
	within    int64
	// Target is the latency target; zero if there is none.
	Target time.Duration
}

func newLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// record adds a duration with its target.
func (l *Latency) record(d, target time.Duration) {
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
	l.Target = target
	if target == 0 || d <= target {
		l.within++
	}
}

// Count returns the number of recorded durations.
func (l *Latency) Count() int64 { return l.histogram.TotalCount() }

// Quantile returns the duration at a percentile, 0 to 100.
func (l *Latency) Quantile(q float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}

// Within returns the share of durations within the target, 0 to 1.
func (l *Latency) Within() float64 {
	if l.Count() == 0 {
		return 1
	}
	return float64(l.within) / float64(l.Count())
}

// WorkspaceSummary contains the demand and the served work of one workspace.
type WorkspaceSummary struct {
	Workspace string
	Weight    int
	Calls     int
	Done      int
	// DemandedTokens and ServedTokens count the answer tokens of all and of the
	// completed model calls.
	DemandedTokens int
	ServedTokens   int
	// FairShare is ServedTokens divided by the workspace's fair share; it can exceed 1.
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
	// FirstToken and BetweenTokens are latencies of streamed model calls, in
	// simulated time.
	FirstToken    *Latency
	BetweenTokens *Latency
	// Plain is the latency of calls to plain services, in real time.
	Plain      *Latency
	Workspaces []WorkspaceSummary
	// Jain is Jain's fairness index over WorkspaceSummary.FairShare.
	Jain float64
	// ModelCost is the cost of the instances of model services in currency units.
	ModelCost float64
	// Cost is the cost of all instances.
	Cost float64
	// LowerBound is the cost of the minimum instance time for the work at the
	// cheapest reclaimable price.
	LowerBound float64
	// PresetBound is that cost at the cheapest mix of on-demand and reclaimable
	// instances that the preset allows.
	PresetBound float64
	Work        standin.Accounting
	Resumes     int
	Violations  []Violation
	EventErrors []string
}

// Refused returns the number of calls that were refused.
func (s *Summary) Refused() int { return s.Outcomes[OutcomeRefused] }

// summarise returns the summary of a run.
func (r *Run) summarise(results []Result, before, after standin.Accounting, elapsed time.Duration) Summary {
	s := Summary{
		Scenario: r.Scenario.Name, Profile: r.Profile.Name, Seed: r.Seed, Elapsed: elapsed, Calls: len(results),
		Outcomes: make(map[Outcome]int), Codes: make(map[string]int),
		FirstToken: newLatency(), BetweenTokens: newLatency(), Plain: newLatency(),
		Work: accountingDelta(before, after),
	}
	byWorkspace := make(map[string]*WorkspaceSummary)
	for i := range results {
		s.addResult(r, &results[i])
		addToWorkspace(byWorkspace, r.Document, &results[i])
	}
	for _, w := range byWorkspace {
		s.Workspaces = append(s.Workspaces, *w)
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceSummary) int { return cmp.Compare(a.Workspace, b.Workspace) })
	fillFairShares(s.Workspaces)
	s.Jain = jainIndex(s.Workspaces)
	r.addCosts(&s)
	return s
}

func (s *Summary) addResult(r *Run, result *Result) {
	s.Outcomes[result.Outcome]++
	if result.Outcome != OutcomeDone && result.Code != "" {
		s.Codes[result.Code]++
	}
	s.Resumes += result.Resumes
	if !result.Call.Kind.IsModel() {
		s.Plain.record(result.Total, 0)
		return
	}
	svc, ok := r.Document.ServiceByModel(result.Call.Model)
	if !ok || result.FirstToken == 0 {
		return
	}
	s.FirstToken.record(simulatedTime(result.FirstToken, r.Speed), milliseconds(svc.FirstTokenTargetMS))
	for _, d := range result.BetweenTokens {
		s.BetweenTokens.record(simulatedTime(d, r.Speed), milliseconds(svc.BetweenTokensTargetMS))
	}
}

func simulatedTime(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) * speed)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func addToWorkspace(all map[string]*WorkspaceSummary, doc *config.Document, result *Result) {
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
	if !result.Call.Kind.IsModel() {
		return
	}
	tokens := ExpectedFor(result.Call).length
	w.DemandedTokens += tokens
	if result.Outcome == OutcomeDone {
		w.ServedTokens += tokens
	}
}

// accountingDelta returns the cost and work between two states of the accounting.
func accountingDelta(before, after standin.Accounting) standin.Accounting {
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

// addCosts sets the costs of the run and their lower bounds.
func (r *Run) addCosts(s *Summary) {
	s.Cost = s.Work.Cloud.Cost
	for _, serviceCost := range s.Work.Cloud.Services {
		svc, ok := r.Document.ServiceByName(serviceCost.Service)
		if !ok || svc.Kind != config.KindModel {
			continue
		}
		s.ModelCost += serviceCost.Cost
		hours := s.Work.Work.ServiceSeconds[svc.Name] * r.Speed / time.Hour.Seconds()
		s.LowerBound += hours * cheapestMixPrice(r.Document, svc.Class, 1)
		s.PresetBound += hours * cheapestMixPrice(r.Document, svc.Class, r.reclaimableShare(svc.Name))
	}
}

// cheapestMixPrice returns the lowest price per hour if the given share of the
// hours is on reclaimable instances and the rest on demand.
func cheapestMixPrice(doc *config.Document, class string, share float64) float64 {
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

// reclaimableShare returns the reclaimable share of a service in the preset that
// is active at the end of the run.
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
