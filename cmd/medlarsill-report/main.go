// Command medlarsill-report turns the rows that medlarsill-load appended to a
// CSV file into the tables and plots of a page.
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

// Marks between which the page's tables are replaced.
const (
	markBegin = "<!-- measured: begin -->"
	markEnd   = "<!-- measured: end -->"
)

type options struct {
	CSV   string `long:"csv" required:"true" description:"rows of medlarsill-load"`
	Page  string `long:"page" required:"true" description:"page whose tables are replaced"`
	Day   string `long:"day" description:"table of the capacity plan over a day, put before the others"`
	Plots string `long:"plots" required:"true" description:"directory for the plots"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(exitSettings)
	}
	if err := write(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func write(o *options) error {
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
	day, err := readDay(o.Day)
	if err != nil {
		return err
	}
	return replaceTables(o.Page, day+report.TargetsMarkdown(report.Targets(groups))+report.Markdown(groups))
}

// readDay returns the table of the capacity plan, or nothing if no file is named.
func readDay(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return "\n### Capacity plan alone\n" + string(data) + "\n### Processes\n", err
}

// replaceTables replaces what stands between the marks of a page.
func replaceTables(path, tables string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page := string(data)
	begin, end := strings.Index(page, markBegin), strings.Index(page, markEnd)
	if begin < 0 || end < begin {
		return eris.Errorf("%s has no marks for the tables", path)
	}
	page = page[:begin+len(markBegin)] + "\n" + tables + "\n" + page[end:]
	return os.WriteFile(path, []byte(page), 0o644)
}
