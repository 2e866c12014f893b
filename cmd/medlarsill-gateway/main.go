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
	err := p.run(out)
	if err != nil {
		log.Error("stopped", "error", err.Error())
	}
	// Standard output may be gone at the end; there is nowhere left to tell it.
	_ = out.Flush()
	if err != nil {
		os.Exit(settings.ExitFailure)
	}
}
