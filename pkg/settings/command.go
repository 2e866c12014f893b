package settings

import (
	"errors"
	"fmt"
	"io"
	"slices"

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
	Settings      string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	Check         bool   `long:"check" description:"check the settings and exit"`
	Config        string `long:"config" value-name:"FILE" description:"with --check: shared configuration that must declare the data centre"`
	PrintDefaults bool   `long:"print-defaults" description:"print all settings with their documentation and defaults, and exit"`
}

// FromCommandLine parses the arguments, without the program name, and loads the
// settings file into out, a pointer to the program's settings. If done is true,
// the process must exit with code.
func FromCommandLine(args []string, out any, stdout, stderr io.Writer) (code int, done bool) {
	_, code, done = FileFromCommandLine(args, out, stdout, stderr)
	return code, done
}

// FileFromCommandLine is like FromCommandLine but also returns the name of the
// settings file, for programs that reload it.
func FileFromCommandLine(args []string, out any, stdout, stderr io.Writer) (file string, code int, done bool) {
	var o Options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return "", ExitOK, true
	case err != nil:
		fmt.Fprintln(stderr, err)
		return "", ExitInvalid, true
	case len(rest) > 0:
		fmt.Fprintln(stderr, "unexpected argument:", rest[0])
		return "", ExitInvalid, true
	case o.PrintDefaults:
		program, _ := programOf(out)
		fmt.Fprint(stdout, Reference(program))
		return "", ExitOK, true
	case o.Settings == "":
		fmt.Fprintln(stderr, "the required flag --settings was not given")
		return "", ExitInvalid, true
	}
	if err := loadAndCheck(o, out); err != nil {
		fmt.Fprintln(stderr, err)
		return "", ExitInvalid, true
	}
	return o.Settings, ExitOK, o.Check
}

// loadAndCheck loads the settings file and, if --config is given, checks that the
// shared configuration declares the data centre.
func loadAndCheck(o Options, out any) error {
	if err := Load(o.Settings, out); err != nil || o.Config == "" {
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
