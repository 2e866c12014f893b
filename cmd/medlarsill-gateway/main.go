// Command medlarsill-gateway forwards callers' requests to the endpoints on the
// users' platform. One of its processes at a time also carries out the duties
// (usage reports and capacity planning) under a lease. One process runs on each
// instance that accepts callers' requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

func main() {
	// Until the process can reload its settings, the signal for that must not end it.
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGHUP)
	var cfg settings.Gateway
	source, code, done := settings.SourceFromCommandLine(os.Args[1:], &cfg, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	out := logging.NewAsync(os.Stdout)
	log := logging.New(cfg.Log, out)
	p := newProcess(cfg, source, log)
	err := p.listen(context.Background())
	if err == nil {
		err = p.run(out)
	}
	if err != nil {
		log.Error("stopped", "error", err.Error())
	}
	// Standard output may be closed already; there is nowhere to report an error.
	_ = out.Flush()
	if err != nil {
		os.Exit(settings.ExitFailure)
	}
}
