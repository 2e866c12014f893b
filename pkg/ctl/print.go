package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/config"
)

// columnGap is the space between two columns of a table, in characters.
const columnGap = 2

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows in aligned columns. The titles are separated by spaces.
func (a *app) table(titles string, rows [][]string) {
	w := tabwriter.NewWriter(a.stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(titles, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// printError prints an error to standard error, as JSON if the output format is JSON.
func (a *app) printError(err error) {
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		apiErr = &api.Error{Code: "failure", Message: err.Error()}
	}
	if a.Output == "json" {
		enc := json.NewEncoder(a.stderr)
		_ = enc.Encode(api.ErrorBody{Error: apiErr})
		return
	}
	fmt.Fprintln(a.stderr, "medlarctl:", apiErr.Message)
	for _, p := range apiErr.Problems {
		fmt.Fprintln(a.stderr, " ", p.String())
	}
}

// printChange prints a change that took effect and sets the exit code.
func (a *app) printChange(c *api.Change) error {
	if c.State == api.Stored {
		a.code = ExitNotYetInForce
	}
	if a.Output == "json" {
		return a.printJSON(c)
	}
	switch {
	case c.State == api.Stored:
		fmt.Fprintf(a.stdout, "stored as revision %d, preset %s; not yet in force on %d entries:\n", c.Revision, c.Preset, len(c.Missing))
		a.printEntries(c.Missing)
	case len(c.Missing) > 0:
		fmt.Fprintf(a.stdout, "accepted: revision %d, preset %s is in force; %d unreachable entries refuse new requests until they have it:\n", c.Revision, c.Preset, len(c.Missing))
		a.printEntries(c.Missing)
	case c.Unchanged:
		fmt.Fprintf(a.stdout, "nothing to change: revision %d, preset %s is in force on every registered entry\n", c.Revision, c.Preset)
	default:
		fmt.Fprintf(a.stdout, "accepted: revision %d, preset %s is in force on every registered entry\n", c.Revision, c.Preset)
	}
	a.printChanges(c.Changes)
	return nil
}

func (a *app) printChanges(changes []config.Change) {
	if len(changes) == 0 {
		return
	}
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{c.Field, string(c.Kind), c.From, c.To})
	}
	a.table("FIELD CHANGE FROM TO", rows)
}

func (a *app) printEntries(entries []api.Entry) {
	rows := make([][]string, 0, len(entries))
	for _, e := range entries {
		state := "ready"
		switch {
		case e.Error != "":
			state = e.Error
		case !e.Ready:
			state = "not ready"
		}
		rows = append(rows, []string{e.ID, e.DataCentre, e.Addr, fmt.Sprint(e.Revision), orDash(e.Preset), state})
	}
	a.table("ENTRY DATA-CENTRE ADDRESS REVISION PRESET STATE", rows)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (a *app) printDiff(d *api.Diff) error {
	if a.Output == "json" {
		return a.printJSON(d)
	}
	fmt.Fprintf(a.stdout, "%d changes to revision %d\n", len(d.Changes), d.Revision)
	a.printChanges(d.Changes)
	return nil
}

func (a *app) printPresets(p *api.Presets) error {
	if a.Output == "json" {
		return a.printJSON(p)
	}
	fmt.Fprintf(a.stdout, "revision %d\n", p.Revision)
	rows := make([][]string, 0, len(p.Presets))
	for _, preset := range p.Presets {
		inForce := ""
		if preset.Name == p.InForce {
			inForce = "*"
		}
		rows = append(rows, []string{
			preset.Name, orDash(inForce), formatNumber(preset.CostWeight), formatNumber(preset.RecomputeWeight), formatNumber(preset.LatencyWeight),
			orDash(strings.Join(preset.ClosedDataCentres, ",")), formatCapacity(preset.Capacity),
		})
	}
	a.table("PRESET IN-FORCE COST RECOMPUTE LATENCY CLOSED CAPACITY", rows)
	return nil
}

func formatNumber(f float64) string { return fmt.Sprintf("%g", f) }

func formatCapacity(list []config.Capacity) string {
	parts := make([]string, 0, len(list))
	for _, c := range list {
		parts = append(parts, fmt.Sprintf("%s=%d-%d", c.Service, c.Min, c.Max))
	}
	return orDash(strings.Join(parts, " "))
}

func (a *app) printStatus(s *api.Status) error {
	if a.Output == "json" {
		return a.printJSON(s)
	}
	fmt.Fprintf(a.stdout, "%s: revision %d, preset %s\n", orDash(s.Organisation), s.Revision, orDash(s.Preset))
	for _, e := range s.Errors {
		fmt.Fprintln(a.stdout, "could not be read:", e)
	}
	fmt.Fprintln(a.stdout)
	a.printEntries(s.Entries)
	fmt.Fprintln(a.stdout)
	a.printEndpoints(s)
	fmt.Fprintln(a.stdout)
	a.printLimits(s.Limits)
	fmt.Fprintln(a.stdout)
	a.printLeases(s.Leases)
	return nil
}

func (a *app) printEndpoints(s *api.Status) {
	rows := make([][]string, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		rows = append(rows, []string{e.Service, e.DataCentre, fmt.Sprint(e.Starting), fmt.Sprint(e.Ready), fmt.Sprint(e.Leaving)})
	}
	a.table("SERVICE DATA-CENTRE STARTING READY LEAVING", rows)
	for _, c := range s.Capacity {
		fmt.Fprintf(a.stdout, "%s: %d ready, %d to %d wanted\n", c.Service, c.Ready, c.Min, c.Max)
	}
}

func (a *app) printLimits(list []api.Limit) {
	rows := make([][]string, 0, len(list))
	for _, l := range list {
		rows = append(rows, []string{l.Workspace, fmt.Sprint(l.Weight), fmt.Sprint(l.MaxInFlight), strings.Join(l.DataCentres, ",")})
	}
	a.table("WORKSPACE WEIGHT MAX-IN-FLIGHT ALLOWED-NOW", rows)
}

func (a *app) printLeases(list []api.Lease) {
	rows := make([][]string, 0, len(list))
	for _, l := range list {
		rows = append(rows, []string{l.Name, orDash(l.Holder), fmt.Sprint(l.Fence)})
	}
	a.table("LEASE HOLDER FENCE", rows)
}

func (a *app) printAudit(t *api.Audit) error {
	if a.Output == "json" {
		return a.printJSON(t)
	}
	rows := make([][]string, 0, len(t.Records))
	for _, r := range t.Records {
		rows = append(rows, auditRow(&r))
	}
	a.table("TIME OPERATOR ACTION FROM TO OUTCOME WHAT", rows)
	return nil
}

func auditRow(r *audit.Record) []string {
	details := strings.Join(r.Summary, ", ")
	if r.Detail != "" {
		details = strings.TrimPrefix(details+"; "+r.Detail, "; ")
	}
	return []string{
		r.Time.Format(time.RFC3339), r.Operator, string(r.Action),
		fmt.Sprint(r.From), fmt.Sprint(r.To), string(r.Outcome), orDash(details),
	}
}
