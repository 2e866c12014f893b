// Package report writes the results of load runs as text, CSV, Markdown tables
// and plots.
package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/medlarsill/medlarsill/pkg/load"
)

// maxViolations is the maximum number of violations that a text report lists.
const maxViolations = 20

// WriteText writes a summary as a text report.
func WriteText(w io.Writer, s *load.Summary) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "scenario\t%s, %s, seed %d, %s\n", s.Scenario, s.Profile, s.Seed, s.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(t, "calls\t%d\t%s\n", s.Calls, formatCounts(s.Outcomes))
	if len(s.Codes) > 0 {
		fmt.Fprintf(t, "error codes\t%s\n", formatCounts(s.Codes))
	}
	writeLatency(t, "first token", s.FirstToken)
	writeLatency(t, "between tokens", s.BetweenTokens)
	writeLatency(t, "plain calls", s.Plain)
	fmt.Fprintf(t, "cost\t%.3f, of which models %.3f\n", s.Cost, s.ModelCost)
	fmt.Fprintf(t, "cost over bound\t%.2f of the cheapest price, %.2f of the cheapest mix that the preset allows\n",
		ratio(s.ModelCost, s.LowerBound), ratio(s.ModelCost, s.PresetBound))
	work := s.Work.Work
	fmt.Fprintf(t, "tokens\tprefilled %d, from cache %d, decoded %d\n", work.PrefillTokens, work.CachedTokens, work.DecodedTokens)
	fmt.Fprintf(t, "recomputed\t%d tokens of the same request, %d prompt tokens known to some endpoint\n", work.RecomputedTokens, work.RepeatedTokens)
	fmt.Fprintf(t, "streams resumed\t%d by callers; %d KV tokens moved\n", s.Resumes, work.TransferredTokens)
	fmt.Fprintf(t, "after notice\t%d requests reached a leaving endpoint, the last %d ms after its notice\n", work.AfterNotice, work.AfterNoticeMaxMS)
	fmt.Fprintf(t, "instances\t%d running, %d started, %d starts refused\n", s.Work.Cloud.Running, s.Work.Cloud.Starts, s.Work.Cloud.Refusals)
	fmt.Fprintf(t, "fairness\t%.3f (Jain)\n", s.Jain)
	for _, ws := range s.Workspaces {
		fmt.Fprintf(t, "  %s\t%d of %d calls done, %.0f%% of its fair share\n", ws.Workspace, ws.Done, ws.Calls, 100*ws.FairShare)
	}
	writeViolations(t, s)
	return t.Flush()
}

func writeViolations(w io.Writer, s *load.Summary) {
	for _, e := range s.EventErrors {
		fmt.Fprintf(w, "event failed\t%s\n", e)
	}
	fmt.Fprintf(w, "broken promises\t%d\n", len(s.Violations))
	for i, v := range s.Violations {
		if i == maxViolations {
			fmt.Fprintf(w, "  ...\n")
			return
		}
		fmt.Fprintf(w, "  %s\t%s: %s\n", v.Guarantee, v.Call, v.Detail)
	}
}

func writeLatency(w io.Writer, name string, l *load.Latency) {
	if l.Count() == 0 {
		return
	}
	fmt.Fprintf(w, "%s\tp50 %s, p95 %s, p99 %s", name, roundDuration(l.Quantile(50)), roundDuration(l.Quantile(95)), roundDuration(l.Quantile(99)))
	if l.Target > 0 {
		fmt.Fprintf(w, ", %.2f%% within %s", 100*l.Within(), l.Target)
	}
	fmt.Fprintln(w)
}

func roundDuration(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// formatCounts returns the counters as a list sorted by name.
func formatCounts[K ~string](m map[K]int) string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if out != "" {
			out += ", "
		}
		out += fmt.Sprintf("%s %d", k, m[k])
	}
	return out
}
