package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"runtime/debug"
	"strconv"

	"github.com/jessevdk/go-flags"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/admin/client"
	"github.com/medlarsill/medlarsill/pkg/config"
)

// revisionComment starts the first line of the output of "config get". "config
// apply" reads the revision that a file is based on from that line.
const revisionComment = "// medlarsill revision: "

var revisionLine = regexp.MustCompile(`^// medlarsill revision: (\d+)\s*$`)

// latest as an expected revision stands for the revision in force.
const latest = "latest"

// fileArgument is the positional argument of the commands that read a file.
type fileArgument struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"configuration, JSON with comments; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (f *fileArgument) name() string { return string(f.Args.File) }

// parser returns a parser with all commands.
func (a *app) parser() *flags.Parser {
	p := flags.NewNamedParser("medlarctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operates medlarsill"
	_, _ = p.AddGroup("Options", "", &a.options)
	c := addCommand(p.Command, "config", "Read and change the configuration", &struct{}{})
	addCommand(c, "get", "Print the configuration in force", &getCommand{app: a})
	addCommand(c, "apply", "Replace the configuration", &applyCommand{app: a})
	addCommand(c, "check", "Check a file for errors and warnings before it is applied", &checkCommand{app: a})
	addCommand(c, "diff", "Show what applying a file would change", &diffCommand{app: a})
	addCommand(c, "reference", "Print a documented example", &referenceCommand{app: a})
	c = addCommand(p.Command, "preset", "List and switch presets", &struct{}{})
	addCommand(c, "list", "List the presets", &listCommand{app: a})
	addCommand(c, "switch", "Switch to a preset", &switchCommand{app: a})
	addCommand(p.Command, "status", "Show entries, endpoints, limits and leases", &statusCommand{app: a})
	addCommand(p.Command, "explain", "Show the timeline of a request from the processes' logs", &explainCommand{app: a})
	addCommand(p.Command, "audit", "Show the audit trail, newest first", &auditCommand{app: a})
	addCommand(p.Command, "completion", "Print a completion script for a shell", &completionCommand{app: a})
	addCommand(p.Command, "version", "Print the version", &versionCommand{app: a})
	return p
}

// addCommand adds a subcommand to parent. It panics on an error, which only an
// invalid command declaration causes.
func addCommand(parent *flags.Command, name, description string, data any) *flags.Command {
	c, err := parent.AddCommand(name, description, description+".", data)
	if err != nil {
		panic(err)
	}
	return c
}

type getCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	out, err := cl.Config(ctx)
	if err != nil {
		return err
	}
	if c.app.Output == "json" {
		return c.app.printJSON(out)
	}
	data, err := json.MarshalIndent(out.Document, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.stdout, "%s%d\n// preset in force: %s\n%s\n", revisionComment, out.Revision, out.Preset, data)
	return nil
}

type applyCommand struct {
	app    *app
	Expect string `long:"expect" value-name:"REV" description:"revision that the change is based on, 0 for the first, or \"latest\" (default: the revision in the file's first line)"`
	fileArgument
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	data, err := readFile(c.name())
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	expected, err := expectedRevision(ctx, cl, c.Expect, data)
	if err != nil {
		return err
	}
	out, err := cl.Apply(ctx, c.name(), data, expected)
	if err != nil {
		return changeError(err)
	}
	return c.app.printChange(&out)
}

// expectedRevision returns the revision that a change is based on: the value of
// --expect, or else the revision in the first line of the file.
func expectedRevision(ctx context.Context, cl *client.Client, expect string, data []byte) (uint64, error) {
	if expect == latest {
		return latestRevision(ctx, cl)
	}
	if expect == "" {
		expect = revisionOf(data)
	}
	if expect == "" {
		return 0, usageError("no expected revision: give --expect REV or --expect latest, or edit the output of \"medlarctl config get\"")
	}
	n, err := strconv.ParseUint(expect, 10, 64)
	if err != nil {
		return 0, usageError("--expect must be a revision number or \"latest\"")
	}
	return n, nil
}

// latestRevision returns the revision in force, 0 if there is none.
func latestRevision(ctx context.Context, cl *client.Client) (uint64, error) {
	current, err := cl.Config(ctx)
	if apiErr, ok := err.(*api.Error); ok && apiErr.Code == api.CodeNotFound {
		return 0, nil
	}
	return current.Revision, err
}

// revisionOf returns the revision in the first line of a file, or "".
func revisionOf(data []byte) string {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	if !scanner.Scan() {
		return ""
	}
	m := revisionLine.FindStringSubmatch(scanner.Text())
	if m == nil {
		return ""
	}
	return m[1]
}

// withFile calls a function with a client and the content of a file.
func (a *app) withFile(name string, call func(ctx context.Context, cl *client.Client, data []byte) error) error {
	data, err := readFile(name)
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := a.connect()
	if err != nil {
		return err
	}
	defer cancel()
	return call(ctx, cl, data)
}

type diffCommand struct {
	app *app
	fileArgument
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	return c.app.withFile(c.name(), func(ctx context.Context, cl *client.Client, data []byte) error {
		out, err := cl.Diff(ctx, c.name(), data)
		if err != nil {
			return err
		}
		return c.app.printDiff(&out)
	})
}

type referenceCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *referenceCommand) Execute([]string) error {
	fmt.Fprint(c.app.stdout, config.Reference)
	return nil
}

type listCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	out, err := cl.Presets(ctx)
	if err != nil {
		return err
	}
	return c.app.printPresets(&out)
}

type switchCommand struct {
	app    *app
	Expect string `long:"expect" required:"true" value-name:"REV" description:"revision that must be in force, or \"latest\""`
	Args   struct {
		Preset string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *switchCommand) Execute([]string) error {
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	expected, err := expectedRevision(ctx, cl, c.Expect, nil)
	if err != nil {
		return err
	}
	out, err := cl.SwitchPreset(ctx, c.Args.Preset, expected)
	if err != nil {
		return changeError(err)
	}
	return c.app.printChange(&out)
}

type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	out, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	return c.app.printStatus(&out)
}

type auditCommand struct {
	app   *app
	Limit int `long:"limit" default:"20" description:"largest number of records, 1 to 1000"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	cl, ctx, cancel, err := c.app.connect()
	if err != nil {
		return err
	}
	defer cancel()
	out, err := cl.Audit(ctx, c.Limit)
	if err != nil {
		return err
	}
	return c.app.printAudit(&out)
}

type completionCommand struct {
	app  *app
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash"`
	} `positional-args:"yes" required:"yes"`
}

// bashCompletion is a bash script that gets the completions from medlarctl itself,
// through the completion support of go-flags.
const bashCompletion = `_medlarctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _medlarctl medlarctl
`

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	if c.Args.Shell != "bash" {
		return usageError("unsupported shell " + strconv.Quote(c.Args.Shell) + "; supported: bash")
	}
	fmt.Fprint(c.app.stdout, bashCompletion)
	return nil
}

type versionCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Fprintln(c.app.stdout, "medlarctl", version)
	return nil
}
