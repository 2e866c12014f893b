package configlint

import (
	"slices"

	"github.com/medlarsill/medlarsill/pkg/config"
)

// callableServices returns the names of the services that some workspace may call.
func callableServices(d *config.Document) map[string]bool {
	out := make(map[string]bool)
	for i := range d.Workspaces {
		for _, name := range d.Workspaces[i].Services {
			out[name] = true
		}
	}
	return out
}

// callers returns the workspaces that may call a service.
func callers(d *config.Document, service string) []*config.Workspace {
	var out []*config.Workspace
	for i := range d.Workspaces {
		if w := &d.Workspaces[i]; w.MayCall(service) {
			out = append(out, w)
		}
	}
	return out
}

// allowedDataCentres returns the data centres that some of the workspaces may use.
func allowedDataCentres(workspaces []*config.Workspace) map[string]bool {
	out := make(map[string]bool)
	for _, w := range workspaces {
		for _, dc := range w.DataCentres {
			out[dc] = true
		}
	}
	return out
}

// places returns the data centres in which a workspace's requests to a service may run
// while a preset is in force: open, allowed, and with machines of the service's class.
func places(d *config.Document, preset string, w *config.Workspace, s *config.Service) []string {
	env := inForce(d, preset)
	var out []string
	for _, dc := range env.AllowedDataCentres(w) {
		if offered(d, s.Class, dc) {
			out = append(out, dc)
		}
	}
	return out
}

// inForce returns an envelope of the document with a preset in force.
func inForce(d *config.Document, preset string) *config.Envelope {
	return &config.Envelope{Preset: preset, Document: *d}
}

// offered reports whether a data centre offers a machine class.
func offered(d *config.Document, class, dataCentre string) bool {
	_, ok := d.PriceOf(class, dataCentre, false)
	return ok
}

// openDataCentres returns the number of data centres that a preset doesn't close.
func openDataCentres(d *config.Document, p *config.Preset) int {
	n := 0
	for _, dc := range d.DataCentres {
		if !slices.Contains(p.ClosedDataCentres, dc.Name) {
			n++
		}
	}
	return n
}

// closedByAll reports whether every preset closes a data centre.
func closedByAll(d *config.Document, dataCentre string) bool {
	for i := range d.Presets {
		if !slices.Contains(d.Presets[i].ClosedDataCentres, dataCentre) {
			return false
		}
	}
	return true
}
