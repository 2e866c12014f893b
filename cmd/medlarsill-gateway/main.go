// Command medlarsill-gateway carries the traffic of callers to the endpoints on
// the users' platform, and the duties of one instance at a time under leases.
// One runs on each entry instance.
package main

import (
	"os"

	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

func main() {
	var cfg settings.Gateway
	file, code, done := settings.FileFromCommandLine(os.Args[1:], &cfg, os.Stdout, os.Stderr)
	if done {
		os.Exit(code)
	}
	out := logging.NewAsync(os.Stdout)
	log := logging.New(cfg.Log, out)
	p := newProcess(cfg, file, log)
	if err := p.run(out); err != nil {
		log.Error("stopped", "error", err.Error())
		os.Exit(settings.ExitFailure)
	}
}
