package load

import (
	"context"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Run is a run of a scenario.
type Run struct {
	Scenario Scenario
	Profile  Profile
	Document *config.Document
	Seed     uint64
	// Speed is the number of simulated seconds per real second.
	Speed    float64
	Client   *Client
	Platform *PlatformClient
	// MaxCalls limits the number of calls; 0 means no limit.
	MaxCalls int
}

// Execute sends the calls, triggers the events, checks all responses and returns
// the summary. It fails only if the records of the simulated platform can't be
// read.
func (r *Run) Execute(ctx context.Context) (Summary, error) {
	calls := Schedule(r.Profile, r.Scenario.Demand, r.Seed)
	if r.MaxCalls > 0 && len(calls) > r.MaxCalls {
		calls = calls[:r.MaxCalls]
	}
	before, err := r.Platform.Accounting(ctx)
	if err != nil {
		return Summary{}, err
	}
	started := time.Now()
	events := r.runEvents(ctx)
	results := r.sendCalls(ctx, calls)
	eventErrors := <-events
	elapsed := time.Since(started)
	after, err := r.Platform.Accounting(ctx)
	if err != nil {
		return Summary{}, err
	}
	records, err := r.Platform.RunRecords(ctx)
	if err != nil {
		return Summary{}, err
	}
	s := r.summarise(results, before, after, elapsed)
	s.EventErrors = eventErrors
	s.Violations = append(r.Client.Violations(), CheckRuns(results, r.allowedDataCentres(), records)...)
	return s, nil
}

// allowedDataCentres returns the configured data centres by workspace.
func (r *Run) allowedDataCentres() map[string][]string {
	out := make(map[string][]string)
	for _, w := range r.Document.Workspaces {
		out[w.Name] = w.DataCentres
	}
	return out
}

// realTime converts simulated time to real time.
func (r *Run) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.Speed)
}

// sendCalls sends each call at its scheduled time and waits for all results.
func (r *Run) sendCalls(ctx context.Context, calls []Call) []Result {
	var (
		mu  sync.Mutex
		out []Result
		wg  sync.WaitGroup
	)
	send := func(c *Call) {
		result := r.Client.Do(ctx, c)
		mu.Lock()
		defer mu.Unlock()
		out = append(out, result)
	}
	start := time.Now()
	for i := range calls {
		c := &calls[i]
		sleep.For(ctx, time.Until(start.Add(r.realTime(c.At))))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { send(c) })
		if c.Duplicate {
			wg.Go(func() { send(c) })
		}
	}
	wg.Wait()
	return out
}

// runEvents triggers each event at its time. After the last one, the channel
// delivers the errors of the events that failed.
func (r *Run) runEvents(ctx context.Context) <-chan []string {
	done := make(chan []string, 1)
	start := time.Now()
	go func() {
		var failed []string
		for _, e := range r.Scenario.Events {
			at := time.Duration(e.AtFraction * float64(r.Scenario.Demand.Duration))
			sleep.For(ctx, time.Until(start.Add(r.realTime(at))))
			if err := r.applyEvent(ctx, e); err != nil {
				failed = append(failed, err.Error())
			}
		}
		done <- failed
	}()
	return done
}

func (r *Run) applyEvent(ctx context.Context, e Event) error {
	if e.Preset != "" {
		return r.Platform.SwitchPreset(ctx, e.Preset)
	}
	return r.Platform.Inject(ctx, e.Path, e.Fault)
}
