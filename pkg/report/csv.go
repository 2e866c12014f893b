package report

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/medlarsill/medlarsill/pkg/load"
)

// csvHeader contains the column names. Columns ending in _ms are simulated milliseconds.
var csvHeader = []string{
	"policy", "profile", "scenario", "seed", "calls", "done", "refused", "unknown", "failed", "no_answer",
	"first_token_p50_ms", "first_token_p95_ms", "first_token_within", "between_p95_ms", "between_within",
	"cost", "model_cost", "cost_over_bound", "cost_over_preset_bound", "recomputed_tokens", "repeated_tokens",
	"prefill_tokens", "cached_tokens", "jain", "least_fair_share", "starts", "refused_starts", "broken_promises",
}

// CSVWriter writes summaries as CSV, one row per summary.
type CSVWriter struct {
	w *csv.Writer
}

// NewCSVWriter returns a CSVWriter and, if withHeader is set, writes the header.
func NewCSVWriter(w io.Writer, withHeader bool) (*CSVWriter, error) {
	out := &CSVWriter{w: csv.NewWriter(w)}
	if !withHeader {
		return out, nil
	}
	if err := out.w.Write(csvHeader); err != nil {
		return nil, err
	}
	out.w.Flush()
	return out, out.w.Error()
}

// WriteRow writes a summary with the name of the measured policy.
func (c *CSVWriter) WriteRow(policy string, s *load.Summary) error {
	work := s.Work.Work
	err := c.w.Write([]string{
		policy, s.Profile, s.Scenario, strconv.FormatUint(s.Seed, 10), strconv.Itoa(s.Calls),
		strconv.Itoa(s.Outcomes[load.OutcomeDone]), strconv.Itoa(s.Refused()), strconv.Itoa(s.Outcomes[load.OutcomeUnknown]),
		strconv.Itoa(s.Outcomes[load.OutcomeFailed]), strconv.Itoa(s.Outcomes[load.OutcomeNoAnswer]),
		quantileMS(s.FirstToken, 50), quantileMS(s.FirstToken, 95), formatNumber(s.FirstToken.Within()),
		quantileMS(s.BetweenTokens, 95), formatNumber(s.BetweenTokens.Within()),
		formatNumber(s.Cost), formatNumber(s.ModelCost), formatNumber(ratio(s.ModelCost, s.LowerBound)), formatNumber(ratio(s.ModelCost, s.PresetBound)),
		strconv.Itoa(work.RecomputedTokens), strconv.Itoa(work.RepeatedTokens),
		strconv.Itoa(work.PrefillTokens), strconv.Itoa(work.CachedTokens),
		formatNumber(s.Jain), formatNumber(LeastFairShare(s)),
		strconv.Itoa(s.Work.Cloud.Starts), strconv.Itoa(s.Work.Cloud.Refusals), strconv.Itoa(len(s.Violations)),
	})
	if err != nil {
		return err
	}
	c.w.Flush()
	return c.w.Error()
}

// LeastFairShare returns the smallest FairShare of the workspaces with demand, at most 1.
func LeastFairShare(s *load.Summary) float64 {
	least := 1.0
	for _, w := range s.Workspaces {
		if w.DemandedTokens > 0 {
			least = min(least, w.FairShare)
		}
	}
	return least
}

func quantileMS(l *load.Latency, q float64) string {
	return formatNumber(float64(l.Quantile(q).Microseconds()) / 1000)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', 4, 64) }
