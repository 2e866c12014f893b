// Command medlarsill-floors lists the days simulated by the users' bench and which of
// them missed a floor, the minimum service that a deployment requires, or broke a
// rule. It reads journal entries and the site files of the deployments, and exits with
// 1 if a day missed a floor or broke a rule.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/platform/floors"
)

// Exit codes.
const (
	exitMissed = 1
	exitUsage  = 2
)

type options struct {
	Sites []string `long:"site" required:"true" description:"site file of a deployment; may be repeated"`
	Args  struct {
		Entries []string `positional-arg-name:"ENTRY" required:"1" description:"journal entries"`
	} `positional-args:"true" required:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); flags.WroteHelp(err) {
		return
	} else if err != nil {
		os.Exit(exitUsage)
	}
	missed, err := check(&o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if missed > 0 {
		os.Exit(exitMissed)
	}
}

// check prints a row for each day and returns the number of days that missed a floor
// or broke a rule.
func check(o *options) (int, error) {
	sites := make(map[string]*floors.Site, len(o.Sites))
	for _, path := range o.Sites {
		s, err := read(path, floors.ReadSite)
		if err != nil {
			return 0, err
		}
		sites[s.Name] = s
	}
	days, missed := 0, 0
	for _, path := range o.Args.Entries {
		e, err := read(path, floors.ReadEntry)
		if err != nil {
			return 0, err
		}
		s, ok := sites[e.Site]
		if !ok {
			continue // an entry of another deployment, or of a run without days
		}
		for _, d := range e.Days {
			fmt.Println(s.Row(e, d))
			days++
			if len(s.Check(d)) > 0 {
				missed++
			}
		}
	}
	fmt.Printf("%d days, %d missed a floor or broke a rule\n", days, missed)
	return missed, nil
}

// read opens a file and parses it.
func read[T any](path string, parse func(r io.Reader) (T, error)) (T, error) {
	var none T
	f, err := os.Open(path)
	if err != nil {
		return none, err
	}
	defer f.Close()
	v, err := parse(f)
	return v, eris.Wrap(err, path)
}
