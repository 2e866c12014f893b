package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	// The gateways end with the thread that has started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, recordFile string) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer w.keepLogs()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		os.RemoveAll(w.dir)
		os.Exit(exitNotRun) // the gateways end with this process
	}()
	trouble := os.Getenv("TROUBLE")
	var held bool
	switch name {
	case "resume":
		held, err = playResume(w, trouble != "0" && trouble != "crash", trouble != "0")
	case "drill":
		held, err = playDrill(w, trouble != "0" && trouble != "kill", trouble != "0" && trouble != "drill")
	case "forward":
		held, err = playForward(w, trouble != "0")
	case "killall":
		held, err = playKillAll(w, trouble != "0" && trouble != "kill", trouble != "0" && trouble != "drill")
	case "drain":
		held, err = playDrain(w, trouble != "0")
	default:
		err = fmt.Errorf("unknown case %q", name)
	}
	if err != nil {
		w.record.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if !held {
		return exitBroken
	}
	return exitHeld
}
