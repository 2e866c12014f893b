package configlint

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// checkWorkspacePlaces finds services of a workspace whose requests have no place in some
// preset. That a workspace has an open data centre at all is an error of package config.
func checkWorkspacePlaces(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for j, name := range w.Services {
			s, ok := d.ServiceByName(name)
			if !ok {
				continue
			}
			if without := presetsWithoutPlace(d, w, s); len(without) > 0 {
				out.add(at("workspaces[%d].services[%d]", i, j), "no open data centre of workspace %q offers class %q of service %q in %s", w.Name, s.Class, name, describePresets(d, without))
			}
		}
	}
	return out
}

func presetsWithoutPlace(d *config.Document, w *config.Workspace, s *config.Service) []string {
	var out []string
	for i := range d.Presets {
		if name := d.Presets[i].Name; len(places(d, name, w, s)) == 0 {
			out = append(out, name)
		}
	}
	return out
}

func describePresets(d *config.Document, names []string) string {
	if len(names) == len(d.Presets) {
		return "any preset"
	}
	described := slices.Clone(names)
	if i := slices.Index(names, d.InitialPreset); i >= 0 {
		described[i] += " (the initial one)"
	}
	return "preset " + strings.Join(described, ", ")
}

// checkWorkspaceDataCentres finds data centres of a workspace in which none of its
// services can run.
func checkWorkspaceDataCentres(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for j, dc := range w.DataCentres {
			if !slices.ContainsFunc(w.Services, func(name string) bool { return offeredTo(d, name, dc) }) {
				out.add(at("workspaces[%d].data_centres[%d]", i, j), "data centre %q offers no class of the services of workspace %q", dc, w.Name)
			}
		}
	}
	return out
}

// offeredTo reports whether a data centre offers the machine class of a service.
func offeredTo(d *config.Document, service, dataCentre string) bool {
	s, ok := d.ServiceByName(service)
	return ok && offered(d, s.Class, dataCentre)
}

// checkUnusedServices finds services, with their models, that no workspace may call.
func checkUnusedServices(d *config.Document) []strictjson.Problem {
	var out findings
	callable := callableServices(d)
	for i, s := range d.Services {
		if callable[s.Name] {
			continue
		}
		models := ""
		if len(s.Models) > 0 {
			models = " or its models " + strings.Join(s.Models, ", ")
		}
		out.add(at("services[%d]", i), "no workspace may call service %q%s; its instances are paid for all the same", s.Name, models)
	}
	return out
}

// checkUnusedClasses finds machine classes that no service runs on.
func checkUnusedClasses(d *config.Document) []strictjson.Problem {
	var out findings
	for i, c := range d.Classes {
		if !slices.ContainsFunc(d.Services, func(s config.Service) bool { return s.Class == c.Name }) {
			out.add(at("machine_classes[%d]", i), "no service runs on machine class %q", c.Name)
		}
	}
	return out
}

// checkUnusedDataCentres finds data centres that no workspace may use. The planner starts
// instances in every open data centre that offers the class.
func checkUnusedDataCentres(d *config.Document) []strictjson.Problem {
	var out findings
	used := allowedDataCentres(allWorkspaces(d))
	for i, dc := range d.DataCentres {
		if used[dc.Name] {
			continue
		}
		consequence := ""
		started := slices.ContainsFunc(d.Services, func(s config.Service) bool { return offered(d, s.Class, dc.Name) })
		if started && !closedByAll(d, dc.Name) {
			consequence = "; instances are started there that serve nobody"
		}
		out.add(at("data_centres[%d]", i), "no workspace may use data centre %q%s", dc.Name, consequence)
	}
	return out
}

func allWorkspaces(d *config.Document) []*config.Workspace {
	out := make([]*config.Workspace, len(d.Workspaces))
	for i := range d.Workspaces {
		out[i] = &d.Workspaces[i]
	}
	return out
}

// checkClosedDataCentres finds data centres that workspaces may use and every preset closes.
func checkClosedDataCentres(d *config.Document) []strictjson.Problem {
	var out findings
	used := allowedDataCentres(allWorkspaces(d))
	for i, dc := range d.DataCentres {
		if used[dc.Name] && closedByAll(d, dc.Name) {
			out.add(at("data_centres[%d]", i), "every preset closes data centre %q", dc.Name)
		}
	}
	return out
}

// checkServiceDataCentres finds data centres in which instances of a service are started
// although no workspace that may call the service may use them. Data centres and services
// that nobody uses at all have findings of their own.
func checkServiceDataCentres(d *config.Document) []strictjson.Problem {
	var out findings
	used := allowedDataCentres(allWorkspaces(d))
	for i, s := range d.Services {
		workspaces := callers(d, s.Name)
		allowed := allowedDataCentres(workspaces)
		for _, dc := range d.DataCentres {
			reported := !used[dc.Name] || len(workspaces) == 0 || closedByAll(d, dc.Name)
			if !reported && !allowed[dc.Name] && offered(d, s.Class, dc.Name) {
				out.add(at("services[%d].machine_class", i), "instances are started in data centre %q, which no workspace that may call service %q may use", dc.Name, s.Name)
			}
		}
	}
	return out
}

// checkDuplicatePresets finds presets with the same values as an earlier one. Operators
// may switch to any preset, so this is the only way in which one has no use.
func checkDuplicatePresets(d *config.Document) []strictjson.Problem {
	var out findings
	first := make(map[string]string)
	for i := range d.Presets {
		name, values := d.Presets[i].Name, presetValues(&d.Presets[i])
		if earlier, ok := first[values]; ok {
			out.add(at("presets[%d]", i), "preset %q has the same values as preset %q", name, earlier)
			continue
		}
		first[values] = name
	}
	return out
}

// presetValues returns an encoding of a preset without its name and the order of its lists.
func presetValues(p *config.Preset) string {
	values := *p
	values.Name = ""
	values.ClosedDataCentres = slices.Sorted(slices.Values(p.ClosedDataCentres))
	values.Capacity = slices.SortedFunc(slices.Values(p.Capacity), func(a, b config.Capacity) int { return cmp.Compare(a.Service, b.Service) })
	data, _ := json.Marshal(values) // can't fail: valid weights are finite
	return string(data)
}

// checkModelPriorities finds priorities of models that equal their service's.
func checkModelPriorities(d *config.Document) []strictjson.Problem {
	var out findings
	for i, s := range d.Services {
		for j, m := range s.ModelPriorities {
			if m.Priority == s.Priority {
				out.add(at("services[%d].model_priorities[%d]", i, j), "has no effect: service %q has the same priority", s.Name)
			}
		}
	}
	return out
}

// checkPlainTargets finds targets for tokens of plain services, which have none.
func checkPlainTargets(d *config.Document) []strictjson.Problem {
	var out findings
	for i, s := range d.Services {
		if s.Kind != config.KindPlain {
			continue
		}
		if s.FirstTokenTargetMS > 0 {
			out.add(at("services[%d].first_token_target_ms", i), "has no effect: a plain service has no tokens")
		}
		if s.BetweenTokensTargetMS > 0 {
			out.add(at("services[%d].between_tokens_target_ms", i), "has no effect: a plain service has no tokens")
		}
	}
	return out
}

// checkReclaimableShares finds shares under which no instance may be reclaimable.
func checkReclaimableShares(d *config.Document) []strictjson.Problem {
	var out findings
	for i := range d.Presets {
		for j, c := range d.Presets[i].Capacity {
			field := at("presets[%d].capacity[%d].reclaimable_share", i, j)
			s, ok := d.ServiceByName(c.Service)
			switch {
			case !ok || c.ReclaimableShare == 0:
			case len(s.NonIdempotent) > 0:
				out.add(field, "has no effect: service %q has non-idempotent calls and runs on demand only", s.Name)
			case c.MaxReclaimable(c.Max) == 0:
				out.add(field, "has no effect: it allows less than one of at most %d instances", c.Max)
			}
		}
	}
	return out
}
