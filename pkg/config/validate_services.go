package config

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// allowedMethods lists the HTTP methods that a non-idempotent call may have.
var allowedMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet}

// reservedPaths lists the path prefixes used by the callers' API itself.
var reservedPaths = []string{"/v1/", "/services/"}

func (v *validator) checkServices() {
	v.require(len(v.doc.Services) > 0, "services", "at least one service is needed")
	names, models := make(map[string]bool), make(map[string]bool)
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(names, s.Name, path+".name")
		v.checkKind(s, models, path)
		_, ok := v.findClass(s.Class)
		v.require(ok, path+".machine_class", "machine class %q is not declared in machine_classes", s.Class)
		v.checkModelPriorities(s, path)
		v.checkServiceLimits(s, path)
	}
}

// checkKind checks the service kind and the fields that are specific to one kind.
func (v *validator) checkKind(s *Service, models map[string]bool, path string) {
	switch s.Kind {
	case KindModel:
		v.require(len(s.Models) > 0, path+".models", "a model service needs at least one model name")
		v.require(len(s.NonIdempotent) == 0, path+".non_idempotent", "only a plain service has non-idempotent calls")
	case KindPlain:
		v.require(len(s.Models) == 0, path+".models", "a plain service has no models")
	default:
		v.require(false, path+".kind", "must be %q or %q, not %q", KindModel, KindPlain, s.Kind)
	}
	for i, m := range s.Models {
		field := fmt.Sprintf("%s.models[%d]", path, i)
		v.require(m != "", field, "must not be empty")
		v.checkUnique(models, m, field)
	}
	for i, c := range s.NonIdempotent {
		field := fmt.Sprintf("%s.non_idempotent[%d]", path, i)
		v.require(slices.Contains(allowedMethods, c.Method), field+".method", "must be one of %s, not %q", strings.Join(allowedMethods, ", "), c.Method)
		v.require(strings.HasPrefix(c.PathPrefix, "/"), field+".path_prefix", "must start with '/'")
	}
}

// checkModelPriorities checks that each model priority is within range and names
// a different model of the service.
func (v *validator) checkModelPriorities(s *Service, path string) {
	seen := make(map[string]bool)
	for i, m := range s.ModelPriorities {
		field := fmt.Sprintf("%s.model_priorities[%d]", path, i)
		v.checkUnique(seen, m.Model, field+".model")
		v.require(slices.Contains(s.Models, m.Model), field+".model", "the service has no model %q", m.Model)
		v.require(m.Priority >= 0 && m.Priority <= MaxPriority, field+".priority", "must be from 0 (lowest) to %d", MaxPriority)
	}
}

func (v *validator) checkServiceLimits(s *Service, path string) {
	v.require(s.DeadlineMS >= 0 && s.DeadlineMS <= MaxDeadlineMS, path+".deadline_ms", "must be from 0 to %d milliseconds", MaxDeadlineMS)
	v.require(s.FirstTokenTargetMS >= 0, path+".first_token_target_ms", "must not be negative")
	v.require(s.BetweenTokensTargetMS >= 0, path+".between_tokens_target_ms", "must not be negative")
	v.require(s.Priority >= 0 && s.Priority <= MaxPriority, path+".priority", "must be from 0 (lowest) to %d", MaxPriority)
	v.require(s.BatchLimit >= 1, path+".batch_limit", "must be at least 1 request")
}

func (v *validator) checkCallStyles() {
	names, paths := make(map[string]bool), make(map[string]bool)
	for i := range v.doc.CallStyles {
		c := &v.doc.CallStyles[i]
		path := fmt.Sprintf("call_styles[%d]", i)
		v.checkName(names, c.Name, path+".name")
		v.checkUnique(paths, c.Path, path+".path")
		v.require(strings.HasPrefix(c.Path, "/"), path+".path", "must start with '/'")
		for _, reserved := range reservedPaths {
			v.require(!strings.HasPrefix(c.Path, reserved), path+".path", "paths below %s belong to the callers' interface itself", reserved)
		}
		v.checkCallTarget(c, path)
	}
}

// checkCallTarget checks that a call style maps to either a model or a plain service.
func (v *validator) checkCallTarget(c *CallStyle, path string) {
	if c.Service == "" {
		ok := slices.ContainsFunc(v.doc.Services, func(s Service) bool { return slices.Contains(s.Models, c.Model) })
		v.require(ok || c.Model == "", path+".model", "no service declares model %q", c.Model)
		v.require(c.PromptField != "", path+".prompt_field", "must not be empty unless service is set")
		v.require(c.AnswerField != "", path+".answer_field", "must not be empty unless service is set")
		v.require(c.ServicePath == "", path+".service_path", "needs service")
		return
	}
	s, ok := v.findService(c.Service)
	v.require(ok, path+".service", "service %q is not declared in services", c.Service)
	v.require(!ok || s.Kind == KindPlain, path+".service", "service %q is not a plain service", c.Service)
	v.require(strings.HasPrefix(c.ServicePath, "/"), path+".service_path", "must start with '/'")
	v.require(c.Model == "" && c.PromptField == "" && c.AnswerField == "", path+".service", "excludes model, prompt_field and answer_field")
}

func (v *validator) checkPresets() {
	v.require(len(v.doc.Presets) > 0, "presets", "at least one preset is needed")
	names := make(map[string]bool)
	for i := range v.doc.Presets {
		p := &v.doc.Presets[i]
		path := fmt.Sprintf("presets[%d]", i)
		v.checkName(names, p.Name, path+".name")
		v.require(validWeight(p.CostWeight), path+".cost_weight", "must be a number from 0 on")
		v.require(validWeight(p.RecomputeWeight), path+".recompute_weight", "must be a number from 0 on")
		v.require(validWeight(p.LatencyWeight), path+".latency_weight", "must be a number from 0 on")
		v.checkDataCentreRefs(p.ClosedDataCentres, path+".closed_data_centres")
		v.checkClosedDataCentres(p, path+".closed_data_centres")
		v.checkCapacity(p, path+".capacity")
	}
	v.require(names[v.doc.InitialPreset], "initial_preset", "preset %q is not declared in presets", v.doc.InitialPreset)
}

// CheckPresetInForce returns the problem of a document that doesn't declare the preset
// in force. Such a document can't be applied.
func (d *Document) CheckPresetInForce(preset string) []Problem {
	if _, ok := d.PresetByName(preset); ok {
		return nil
	}
	return []Problem{{Field: "presets", Message: "preset " + strconv.Quote(preset) + " is in force and must stay declared; switch to another one first"}}
}

// checkClosedDataCentres checks that a preset leaves every workspace at least one data centre.
func (v *validator) checkClosedDataCentres(p *Preset, field string) {
	for i := range v.doc.Workspaces {
		w := &v.doc.Workspaces[i]
		v.require(len(w.DataCentres) == 0 || len(openDataCentres(w, p)) > 0, field, "preset %q allows nothing for workspace %q: it closes all its data centres", p.Name, w.Name)
	}
}

func (v *validator) checkCapacity(p *Preset, field string) {
	seen := make(map[string]bool)
	for i, c := range p.Capacity {
		path := fmt.Sprintf("%s[%d]", field, i)
		_, ok := v.findService(c.Service)
		v.require(ok, path+".service", "service %q is not declared in services", c.Service)
		v.checkUnique(seen, c.Service, path+".service")
		v.require(c.Min >= 0, path+".min", "must not be negative")
		v.require(c.Max >= max(c.Min, 1), path+".max", "preset %q allows nothing here: must be at least 1 and not less than min", p.Name)
		v.require(c.ReclaimableShare >= 0 && c.ReclaimableShare <= 1, path+".reclaimable_share", "must be from 0 to 1")
	}
	for _, s := range v.doc.Services {
		v.require(seen[s.Name], field, "preset %q allows nothing for service %q: it has no capacity", p.Name, s.Name)
	}
}
