package report

import (
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14
)

// plots lists the measures to plot, with file names and titles.
var plots = []struct {
	measure Measure
	file    string
	title   string
}{
	{CostOverBound, "cost.png", "Cost over the lower bound"},
	{FirstTokenWithin, "first-token.png", "Share of first tokens within the target"},
	{RepeatedTokens, "repeated-tokens.png", "Prompt tokens computed again"},
}

// Plots writes the plots to a directory. Each plot has a group of bars for each
// profile and scenario, one bar for each policy: the mean over the seeds, with
// error bars for the range.
func Plots(groups []*Group, dir string) error {
	for _, p := range plots {
		if err := drawPlot(groups, p.measure, p.title, filepath.Join(dir, p.file)); err != nil {
			return eris.Wrapf(err, "report: plot %s", p.file)
		}
	}
	return nil
}

func drawPlot(groups []*Group, m Measure, title, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	names, policies := plotLabels(groups)
	for i, policy := range policies {
		if err := drawPolicyBars(p, groups, names, policies, i, policy, m); err != nil {
			return err
		}
	}
	p.NominalX(names...)
	p.Y.Max *= 1.25
	return p.Save(plotWidth, plotHeight, path)
}

// plotLabels returns the labels of the bar groups (profile and scenario) and the policies.
func plotLabels(groups []*Group) (names, policies []string) {
	seen := make(map[string]bool)
	for _, g := range groups {
		name := g.Profile + "\n" + g.Scenario
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
		if !seen[g.Policy] {
			seen[g.Policy] = true
			policies = append(policies, g.Policy)
		}
	}
	return names, policies
}

// barRanges contains the tops of the bars and the errors: the distances to the
// lowest and the highest value.
type barRanges struct {
	plotter.XYs
	plotter.YErrors
}

func drawPolicyBars(p *plot.Plot, groups []*Group, names, policies []string, i int, policy string, m Measure) error {
	values := make(plotter.Values, len(names))
	errorRanges := barRanges{XYs: make(plotter.XYs, len(names)), YErrors: make(plotter.YErrors, len(names))}
	for _, g := range groups {
		if g.Policy != policy {
			continue
		}
		for k, name := range names {
			if name == g.Profile+"\n"+g.Scenario {
				lowest, highest := g.Range(m)
				values[k] = g.Mean(m)
				errorRanges.XYs[k] = plotter.XY{X: float64(k), Y: values[k]}
				errorRanges.YErrors[k].Low, errorRanges.YErrors[k].High = values[k]-lowest, highest-values[k]
			}
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = policyColour(i)
	bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
	errorBars, err := plotter.NewYErrorBars(errorRanges)
	if err != nil {
		return err
	}
	p.Add(bars, offsetErrorBars{errorBars, bars.Offset})
	p.Legend.Add(policy, bars)
	return nil
}
