package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is the time after which a case is ended.
const longestRun = 115 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"encoded": encodedSlash,
	"outage":  takeUpAfterOutage,
	"part":    crashingPart,
	"path":    changedPath,
	"upgrade": upgradeInPlace,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	w, err := newWorld(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go endEarly(w)
	broken, err := cases[args[0]](w)
	switch {
	case err != nil:
		r.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		r.line("result: broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.line("result: held")
	fmt.Println("held")
	return exitHeld
}

// endEarly ends all processes at a signal, or when the case takes too long.
func endEarly(w *world) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-stop:
		w.record.line("not run: %v", s)
	case <-time.After(longestRun):
		w.record.line("not run: not done after %v", longestRun)
	}
	w.close()
	os.Exit(exitNotRun)
}
