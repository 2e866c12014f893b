// Command harness plays one case of the review: it starts the project's own processes with the
// command and the settings template of the deploy file, together with stand-ins of the platform,
// of servers and of callers, and checks a rule on what these have seen.
package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns the ways in which the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken []string, err error){
	"stale-order":   staleOrder,
	"foreign-entry": foreignEntry,
	"poison-kill":   poisonKill,
	"upgrade":       upgradeInPlace,
	"survivor":      survivor,
}

// How a case is played.
const (
	withDisruption    = "with-disruption"
	withoutDisruption = "without-disruption"
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || os.Args[2] != withDisruption && os.Args[2] != withoutDisruption {
		fmt.Fprintln(os.Stderr, "usage: harness CASE", withDisruption+"|"+withoutDisruption, "ROOT RECORD; cases:", strings.Join(slices.Sorted(maps.Keys(cases)), " "))
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	d, err := newDeployment(os.Args[3], os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	go endEarly(d)
	broken, err := play(d, os.Args[2] == withDisruption)
	if err != nil {
		d.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		d.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Println("broken:", broken[0])
		return exitBroken
	}
	d.note("the rule held")
	fmt.Println("held")
	return exitHeld
}

// endEarly ends all processes if the case is interrupted or takes too long.
func endEarly(d *deployment) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-interrupted:
		d.note("interrupted: %v", s)
	case <-time.After(timeLimit):
		d.note("not ended after %v", timeLimit)
	}
	d.close()
	os.Exit(exitNotRun)
}
