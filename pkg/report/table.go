package report

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Measure is a CSV column that is aggregated over the seeds.
type Measure string

// The measures of a table.
const (
	ModelCost           Measure = "model_cost"
	CostOverBound       Measure = "cost_over_bound"
	CostOverPreset      Measure = "cost_over_preset_bound"
	FirstTokenP95       Measure = "first_token_p95_ms"
	FirstTokenWithin    Measure = "first_token_within"
	BetweenTokensWithin Measure = "between_within"
	RecomputedTokens    Measure = "recomputed_tokens"
	RepeatedTokens      Measure = "repeated_tokens"
	Refused             Measure = "refused"
	Jain                Measure = "jain"
	LeastWorkspaceShare Measure = "least_fair_share"
	Violations          Measure = "broken_promises"
)

// column is a table column: a measure with its title and number of decimals.
type column struct {
	measure Measure
	title   string
	digits  int
}

var columns = []column{
	{ModelCost, "cost", 3},
	{CostOverBound, "cost / bound", 2},
	{CostOverPreset, "cost / preset's bound", 2},
	{FirstTokenP95, "first token p95, ms", 0},
	{FirstTokenWithin, "first token within", 3},
	{BetweenTokensWithin, "between tokens within", 3},
	{RecomputedTokens, "recomputed tokens", 0},
	{RepeatedTokens, "repeated prompt tokens", 0},
	{Refused, "refused", 0},
	{Jain, "Jain", 3},
	{LeastWorkspaceShare, "least fair share", 3},
	{Violations, "broken promises", 0},
}

// Group contains the measurements of one policy for a profile and scenario, one
// value per seed.
type Group struct {
	Profile  string
	Scenario string
	Policy   string
	values   map[Measure][]float64
}

// Mean returns the mean of a measure over the seeds.
func (g *Group) Mean(m Measure) float64 {
	sum := 0.0
	for _, v := range g.values[m] {
		sum += v
	}
	return sum / float64(max(len(g.values[m]), 1))
}

// Range returns the smallest and the largest value of a measure.
func (g *Group) Range(m Measure) (lowest, highest float64) {
	if len(g.values[m]) == 0 {
		return 0, 0
	}
	return slices.Min(g.values[m]), slices.Max(g.values[m])
}

// Seeds returns the number of runs.
func (g *Group) Seeds() int { return len(g.values[ModelCost]) }

// ErrColumns means that a file lacks the header row or one of its columns.
var ErrColumns = eris.New("report: missing columns")

// ReadGroups reads the rows written by CSVWriter, grouped by profile, scenario
// and policy.
func ReadGroups(r io.Reader) ([]*Group, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, eris.Wrap(err, "report: read CSV rows")
	}
	if len(rows) == 0 {
		return nil, eris.Wrap(ErrColumns, "empty file")
	}
	if err := checkHeader(rows[0]); err != nil {
		return nil, err
	}
	var out []*Group
	for _, row := range rows[1:] {
		if err := addRow(&out, rows[0], row); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(out, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.Profile, b.Profile), cmp.Compare(a.Scenario, b.Scenario))
	})
	return out, nil
}

// checkHeader checks that a header row names all columns that addRow reads.
func checkHeader(header []string) error {
	names := []string{"profile", "scenario", "policy"}
	for _, c := range columns {
		names = append(names, string(c.measure))
	}
	for _, name := range names {
		if !slices.Contains(header, name) {
			return eris.Wrapf(ErrColumns, "column %s", name)
		}
	}
	return nil
}

func addRow(out *[]*Group, header, row []string) error {
	field := func(name string) string { return row[slices.Index(header, name)] }
	g := findGroup(*out, field("profile"), field("scenario"), field("policy"))
	if g == nil {
		g = &Group{Profile: field("profile"), Scenario: field("scenario"), Policy: field("policy"), values: make(map[Measure][]float64)}
		*out = append(*out, g)
	}
	for _, c := range columns {
		v, err := strconv.ParseFloat(field(string(c.measure)), 64)
		if err != nil {
			return eris.Wrapf(err, "report: parse column %s", c.measure)
		}
		g.values[c.measure] = append(g.values[c.measure], v)
	}
	return nil
}

func findGroup(groups []*Group, profile, scenario, policy string) *Group {
	for _, g := range groups {
		if g.Profile == profile && g.Scenario == scenario && g.Policy == policy {
			return g
		}
	}
	return nil
}

// Markdown returns one table for each profile and scenario: the mean of each
// measure over the seeds, with its lowest and highest value.
func Markdown(groups []*Group) string {
	var b strings.Builder
	for i, g := range groups {
		if i == 0 || groups[i-1].Profile != g.Profile || groups[i-1].Scenario != g.Scenario {
			writeTableHeader(&b, g)
		}
		fmt.Fprintf(&b, "| %s |", g.Policy)
		for _, c := range columns {
			lowest, highest := g.Range(c.measure)
			fmt.Fprintf(&b, " %s (%s to %s) |", formatDecimals(g.Mean(c.measure), c.digits), formatDecimals(lowest, c.digits), formatDecimals(highest, c.digits))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func writeTableHeader(b *strings.Builder, g *Group) {
	fmt.Fprintf(b, "\n### %s, %s (%d seeds)\n\n| policy |", g.Profile, g.Scenario, g.Seeds())
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", c.title)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(columns)) + "\n")
}

func formatDecimals(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
