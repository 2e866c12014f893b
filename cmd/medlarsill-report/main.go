// Command medlarsill-report reads the CSV rows written by medlarsill-load,
// replaces the tables of a page and writes plots.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/report"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

// Markers between which the tables of the page are replaced.
const (
	beginMarker = "<!-- measured: begin -->"
	endMarker   = "<!-- measured: end -->"
)

type options struct {
	CSV          string `long:"csv" required:"true" description:"rows of medlarsill-load"`
	Page         string `long:"page" required:"true" description:"page whose tables are replaced"`
	CapacityPlan string `long:"day" description:"table of the capacity plan over a day, put before the others"`
	Plots        string `long:"plots" required:"true" description:"directory for the plots"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(exitSettings)
	}
	if err := updateReport(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func updateReport(o *options) error {
	f, err := os.Open(o.CSV)
	if err != nil {
		return err
	}
	defer f.Close()
	groups, err := report.ReadGroups(f)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Plots, 0o755); err != nil {
		return err
	}
	if err := report.Plots(groups, o.Plots); err != nil {
		return err
	}
	plan, err := readCapacityPlan(o.CapacityPlan)
	if err != nil {
		return err
	}
	return replaceTables(o.Page, plan+report.TargetsMarkdown(report.CheckTargets(groups))+report.Markdown(groups))
}

// readCapacityPlan returns the table of the capacity plan with headings, or ""
// if path is empty.
func readCapacityPlan(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return "\n### Capacity plan alone\n" + string(data) + "\n### Processes\n", err
}

// replaceTables replaces the text between the markers of a page.
func replaceTables(path, tables string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page := string(data)
	begin, end := strings.Index(page, beginMarker), strings.Index(page, endMarker)
	if begin < 0 || end < begin {
		return eris.Errorf("replace tables in %s: markers not found", path)
	}
	page = page[:begin+len(beginMarker)] + "\n" + tables + "\n" + page[end:]
	return os.WriteFile(path, []byte(page), 0o644)
}
