package settings

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Exit codes common to all programs.
const (
	// ExitOK means success, including a requested stop.
	ExitOK = 0
	// ExitFailure means that the process failed at run time.
	ExitFailure = 1
	// ExitInvalid means that the command line or the settings are invalid; nothing was started.
	ExitInvalid = 2
)

// Options holds the command-line flags common to all programs that have settings.
type Options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Config   string `long:"config" value-name:"FILE" description:"with --check: shared configuration that must declare the data centre"`
	// Set holds values of settings, as NAME=VALUE, that go before those of the file. A deployment
	// whose platform has no value for a field leaves it empty.
	Set           []string `long:"set" value-name:"NAME=VALUE" description:"value of a setting, in JSON, that replaces the file's; nothing if it is empty"`
	PrintDefaults bool     `long:"print-defaults" description:"print all settings with their documentation and defaults, and exit"`
}

// FromCommandLine parses the arguments, without the program name, and loads the
// settings file into out, a pointer to the program's settings. If done is true,
// the process must exit with code.
func FromCommandLine(args []string, out any, stdout, stderr io.Writer) (code int, done bool) {
	_, code, done = SourceFromCommandLine(args, out, stdout, stderr)
	return code, done
}

// Source says where a program's settings come from.
type Source struct {
	// File is the settings file, and Set holds values that go before those of the file, as NAME=VALUE.
	File string
	Set  []string
}

// Load reads the settings into out, a pointer to the program's settings, and validates them.
func (s Source) Load(out any) error {
	if err := Load(s.File, out); err != nil {
		return err
	}
	for _, text := range s.Set {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			return strictjson.Problems{{File: setFlag, Field: text, Message: "must be NAME=VALUE"}}
		}
		if value == "" {
			continue
		}
		if err := strictjson.Decode(setFlag, fmt.Appendf(nil, "{%q: %s}", name, value), out); err != nil {
			return err
		}
	}
	return nil
}

// setFlag is the flag of Options.Set, which errors name in place of a file.
const setFlag = "--set"

// SourceFromCommandLine is like FromCommandLine but also returns where the settings come
// from, for programs that reload them.
func SourceFromCommandLine(args []string, out any, stdout, stderr io.Writer) (source Source, code int, done bool) {
	var o Options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return Source{}, ExitOK, true
	case err != nil:
		fmt.Fprintln(stderr, err)
		return Source{}, ExitInvalid, true
	case len(rest) > 0:
		fmt.Fprintln(stderr, "unexpected argument:", rest[0])
		return Source{}, ExitInvalid, true
	case o.PrintDefaults:
		program, _ := programOf(out)
		fmt.Fprint(stdout, Reference(program))
		return Source{}, ExitOK, true
	case o.Settings == "":
		fmt.Fprintln(stderr, "the required flag --settings was not given")
		return Source{}, ExitInvalid, true
	}
	if err := loadAndCheck(o, out); err != nil {
		fmt.Fprintln(stderr, err)
		return Source{}, ExitInvalid, true
	}
	return o.source(), ExitOK, o.Check
}

func (o Options) source() Source { return Source{File: o.Settings, Set: o.Set} }

// loadAndCheck loads the settings file and, if --config is given, checks that the
// shared configuration declares the data centre.
func loadAndCheck(o Options, out any) error {
	if err := o.source().Load(out); err != nil || o.Config == "" {
		return err
	}
	var doc config.Document
	if err := Load(o.Config, &doc); err != nil {
		return err
	}
	return checkDataCentreDeclared(o, dataCentreOf(out), &doc)
}

// checkDataCentreDeclared checks that the shared configuration declares the data
// centre with the given name.
func checkDataCentreDeclared(o Options, name string, doc *config.Document) error {
	if slices.ContainsFunc(doc.DataCentres, func(dc config.DataCentre) bool { return dc.Name == name }) {
		return nil
	}
	message := fmt.Sprintf("data centre %q is not declared in data_centres of %s", name, o.Config)
	return strictjson.Problems{{File: o.Settings, Line: strictjson.LineOf(o.Settings, "data_centre"), Field: "data_centre", Message: message}}
}

func dataCentreOf(out any) string {
	switch s := out.(type) {
	case *Entry:
		return s.DataCentre
	case *Controller:
		return s.DataCentre
	case *Admin:
		return s.DataCentre
	case *Gateway:
		return s.DataCentre
	}
	return ""
}
