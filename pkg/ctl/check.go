package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/admin/client"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/configlint"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// againstCurrent as the value of --against stands for the version in force.
const againstCurrent = "current"

// errNotCompared means that the version in force could not be read.
var errNotCompared = errors.New("the version in force could not be read")

// checkReport is the output of "config check". Its field names are stable.
type checkReport struct {
	File string `json:"file"`
	// Valid is true if there are no problems.
	Valid bool `json:"valid"`
	// Problems lists the errors; a document that has one is not applied.
	Problems strictjson.Problems `json:"problems"`
	// Warnings is empty unless the document is valid.
	Warnings []configlint.Finding `json:"warnings"`
	// Against is the version that Changes refers to, or null if there is none.
	Against *checkBase      `json:"against"`
	Changes []config.Change `json:"changes"`

	// data, doc and lines are the content of the file; doc is set if it is valid.
	data  []byte
	doc   *config.Document
	lines strictjson.Lines
}

// checkBase is the version that a document is compared with.
type checkBase struct {
	// Source is "current" or a file name.
	Source string `json:"source"`
	// Revision and Preset are those in force; files have none.
	Revision uint64 `json:"revision,omitempty"`
	Preset   string `json:"preset,omitempty"`
}

type checkCommand struct {
	app     *app
	Against string `long:"against" value-name:"current|FILE" description:"also show what differs from the version in force, or from the one in a file"`
	JSON    bool   `long:"json" description:"print one JSON object, as --output json does"`
	fileArgument
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.JSON {
		c.app.Output = "json"
	}
	if c.name() == "-" && c.Against == "-" {
		return usageError("FILE and --against can't both be standard input")
	}
	r := checkFile(c.name())
	var err error
	if r.Valid && c.Against != "" {
		err = c.compare(r)
	}
	c.app.code = r.exitCode()
	if printErr := c.app.printCheck(r); printErr != nil {
		return printErr
	}
	if !r.Valid {
		return nil
	}
	return err
}

// checkFile returns the findings on a file alone.
func checkFile(name string) *checkReport {
	r := &checkReport{
		File: name, Problems: strictjson.Problems{}, Warnings: []configlint.Finding{}, Changes: []config.Change{}, doc: &config.Document{},
	}
	var err error
	if r.data, err = readFile(name); err != nil {
		r.addProblems(strictjson.Problem{File: name, Message: "the file can't be read: " + err.Error()})
		return r
	}
	r.lines, err = strictjson.DecodeWithLines(name, r.data, r.doc)
	if r.Valid = err == nil; r.Valid {
		r.addWarnings()
		return r
	}
	var problems strictjson.Problems
	if !errors.As(err, &problems) {
		problems = strictjson.Problems{{File: name, Message: err.Error()}}
	}
	r.addProblems(problems...)
	return r
}

func (r *checkReport) addProblems(list ...strictjson.Problem) {
	r.Problems = append(r.Problems, list...)
	r.Valid = len(r.Problems) == 0
}

// addWarnings adds the warnings on a valid document, in the order of their lines.
func (r *checkReport) addWarnings() {
	for _, w := range configlint.Check(r.doc) {
		w.File, w.Line = r.File, r.lines.Of(w.Field)
		r.Warnings = append(r.Warnings, w)
	}
	slices.SortStableFunc(r.Warnings, func(a, b configlint.Finding) int { return a.Line - b.Line })
}

func (r *checkReport) exitCode() int {
	switch {
	case !r.Valid:
		return ExitInvalid
	case len(r.Warnings) > 0:
		return ExitWarnings
	}
	return ExitOK
}

// compare adds the differences from the version that --against names.
func (c *checkCommand) compare(r *checkReport) error {
	if c.Against == againstCurrent {
		return c.compareCurrent(r)
	}
	data, err := readFile(c.Against)
	if err != nil {
		return err
	}
	base := &config.Document{}
	if err := strictjson.Decode(c.Against, data, base); err != nil {
		return err
	}
	r.setChanges(checkBase{Source: c.Against}, base)
	return nil
}

// compareCurrent adds the differences from the version in force and the problems that
// only the running system knows of.
func (c *checkCommand) compareCurrent(r *checkReport) error {
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	current, err := currentConfig(ctx, cl)
	if err != nil {
		return notCompared(err)
	}
	// The running version may have other rules than this program.
	out, err := cl.Check(ctx, r.File, r.data)
	if err != nil {
		return notCompared(err)
	}
	r.addProblems(out.Problems...)
	r.setCurrent(current)
	return nil
}

// currentConfig returns the configuration in force, or nil if there is none.
func currentConfig(ctx context.Context, cl *client.Client) (*api.Config, error) {
	current, err := cl.Config(ctx)
	var apiErr *api.Error
	if errors.As(err, &apiErr) && apiErr.Code == api.CodeNotFound {
		return nil, nil
	}
	return &current, err
}

// setCurrent adds the differences from the version in force, which is nil if there is none.
func (r *checkReport) setCurrent(current *api.Config) {
	if current == nil {
		r.setChanges(checkBase{Source: againstCurrent}, nil)
		return
	}
	for _, p := range r.doc.CheckPresetInForce(current.Preset) {
		p.File, p.Line = r.File, r.lines.Of(p.Field)
		r.addProblems(p)
	}
	r.setChanges(checkBase{Source: againstCurrent, Revision: current.Revision, Preset: current.Preset}, &current.Document)
}

// notCompared returns the error of a version in force that could not be read. A missing
// permission keeps its exit code.
func notCompared(err error) error {
	if exitCode(err) == ExitDenied {
		return err
	}
	return errors.Join(errNotCompared, err)
}

func (r *checkReport) setChanges(base checkBase, from *config.Document) {
	r.Against = &base
	r.Changes = append(r.Changes, config.Diff(from, r.doc)...)
}

func (a *app) printCheck(r *checkReport) error {
	if a.Output == "json" {
		return a.printJSON(r)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(a.stdout, p.String())
	}
	for _, w := range r.Warnings {
		p := w.Problem
		p.Message = fmt.Sprintf("warning: %s [%s]", p.Message, w.Rule)
		fmt.Fprintln(a.stdout, p.String())
	}
	fmt.Fprintln(a.stdout, r.summary())
	if r.Against != nil {
		fmt.Fprintf(a.stdout, "%d changes to %s\n", len(r.Changes), r.Against.describe())
		a.printChanges(r.Changes)
	}
	return nil
}

func (r *checkReport) summary() string {
	switch {
	case !r.Valid:
		return fmt.Sprintf("not valid; errors: %d, warnings: %d", len(r.Problems), len(r.Warnings))
	case len(r.Warnings) > 0:
		return fmt.Sprintf("valid; warnings: %d", len(r.Warnings))
	}
	return "valid"
}

func (b *checkBase) describe() string {
	if b.Source == againstCurrent {
		return fmt.Sprintf("revision %d", b.Revision)
	}
	return b.Source
}
