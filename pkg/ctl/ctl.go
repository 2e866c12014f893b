// Package ctl implements medlarctl, the operators' command-line client of the admin API.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/admin/client"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Exit codes of medlarctl.
const (
	// ExitOK means success. A change is in force on every registered entry.
	ExitOK = 0
	// ExitFailure means that nothing was changed, for a reason not listed below.
	ExitFailure = 1
	// ExitInvalid means that the command line or the configuration is invalid.
	ExitInvalid = 2
	// ExitLostRace means that a concurrent change was applied first; nothing was changed.
	ExitLostRace = 3
	// ExitUnknown means that the change may or may not have taken effect.
	ExitUnknown = 4
	// ExitNotYetInForce means that the change is stored but not yet in force on every
	// registered entry.
	ExitNotYetInForce = 5
	// ExitDenied means that the key is missing or unknown, or that its role does not
	// permit the command.
	ExitDenied = 6
	// ExitWarnings means that "config check" found warnings but no errors. No other
	// command returns it, so that it can share its value with ExitFailure.
	ExitWarnings = 1
	// ExitNotCompared means that "config check" could not read the version in force.
	// It is not ExitFailure, which scripts would take for warnings.
	ExitNotCompared = 7
)

// options holds the flags common to all commands.
type options struct {
	Profile string        `long:"profile" env:"MEDLARCTL_PROFILE" value-name:"FILE" description:"file with server, key and ca, JSON with comments (default: medlarctl.json in the user's configuration directory, if it exists)"`
	Server  []string      `long:"server" env:"MEDLARCTL_SERVER" env-delim:"," value-name:"URL" description:"base URL of an admin process; several are tried in turn"`
	KeyFile string        `long:"key-file" env:"MEDLARCTL_KEY_FILE" value-name:"FILE" description:"file that holds the key; MEDLARCTL_KEY may hold the key itself"`
	CA      string        `long:"ca" env:"MEDLARCTL_CA" value-name:"FILE" description:"PEM file of the authorities that issue the admin processes' certificates"`
	Output  string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"time limit of the whole command, all servers and tries together"`
}

// app is the state of one run of medlarctl.
type app struct {
	options
	stdout, stderr io.Writer
	// code is the exit code if the command returns no error.
	code int
}

// Run executes the arguments, without the program name, and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, stderr: stderr}
	parser := a.parser()
	_, err := parser.ParseArgs(args)
	if err == nil {
		return a.code
	}
	return a.reportError(err)
}

// reportError prints an error and returns its exit code.
func (a *app) reportError(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(a.stdout, err)
			return ExitOK
		}
		fmt.Fprintln(a.stderr, "medlarctl:", err)
		return ExitInvalid
	}
	a.printError(err)
	return exitCode(err)
}

func exitCode(err error) int {
	var apiErr *api.Error
	var problems strictjson.Problems
	switch {
	case errors.As(err, &problems), errors.As(err, new(usageError)):
		return ExitInvalid
	case errors.Is(err, errNotCompared):
		return ExitNotCompared
	case errors.As(err, &apiErr):
		return apiExitCode(apiErr.Code)
	case errors.Is(err, errOutcomeUnknown):
		return ExitUnknown
	}
	return ExitFailure
}

func apiExitCode(code api.Code) int {
	switch code {
	case api.CodeInvalid, api.CodeTooLarge, api.CodeIfMatchMissing:
		return ExitInvalid
	case api.CodeLostRace:
		return ExitLostRace
	case api.CodeOutcomeUnknown:
		return ExitUnknown
	case api.CodeUnauthenticated, api.CodeForbidden:
		return ExitDenied
	}
	return ExitFailure
}

// usageError is an error in the command line or in a file that it names.
type usageError string

// Error implements error.
func (e usageError) Error() string { return string(e) }

// errOutcomeUnknown means that a change request got no response.
var errOutcomeUnknown = errors.New("the change may or may not have taken effect; see \"medlarctl audit\"")

// changeError adds errOutcomeUnknown to the error of a change that got no response.
func changeError(err error) error {
	if errors.Is(err, client.ErrNoAnswer) {
		return errors.Join(errOutcomeUnknown, err)
	}
	return err
}

// connect returns a client of the admin API and a context with the time limit of
// the command.
func (a *app) connect() (*client.Client, context.Context, context.CancelFunc, error) {
	p, err := a.resolveProfile()
	if err != nil {
		return nil, nil, nil, err
	}
	httpClient, err := newHTTPClient(p.CA)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	return client.New(p.Servers, p.Key, httpClient), ctx, cancel, nil
}

// readFile reads a file, or standard input for "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError(err.Error())
	}
	return data, nil
}
