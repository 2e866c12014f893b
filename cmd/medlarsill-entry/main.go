// Command medlarsill-entry serves callers on an entry instance.
package main

import (
	"log/slog"
	"os"

	"github.com/medlarsill/medlarsill/pkg/actors"
	"github.com/medlarsill/medlarsill/pkg/logging"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

func main() {
	var cfg settings.Entry
	if code, done := settings.FromCommandLine(os.Args[1:], &cfg, os.Stdout, os.Stderr); done {
		os.Exit(code)
	}
	log := logging.New(cfg.Log, os.Stderr)
	if err := serve(cfg, log); err != nil {
		log.Error("stopped", "error", err.Error())
		os.Exit(settings.ExitFailure)
	}
}

// serve runs the process until a planned stop or the first failure of a component.
func serve(cfg settings.Entry, log *slog.Logger) error {
	p, err := newProcess(cfg, log)
	if err != nil {
		return err
	}
	defer p.close()
	return actors.Run(p.actors()...)
}
