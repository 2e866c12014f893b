package config

import (
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Problem is one error in a document, with the path of the field.
type Problem = strictjson.Problem

// Limits on the values in a document.
const (
	// MaxDeadlineMS is the maximum of Service.DeadlineMS, in milliseconds.
	MaxDeadlineMS = 3_600_000
	// MaxPriority is the highest priority of a service.
	MaxPriority = 9
)

// namePattern matches valid names of data centres, classes, services, workspaces,
// call styles and presets.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Validate returns all problems of a document. A document without problems may be applied.
func Validate(d *Document) []Problem {
	v := &validator{doc: d}
	v.require(d.Organisation != "", "organisation", "must not be empty")
	v.checkDataCentres()
	v.checkClasses()
	v.checkServices()
	v.checkWorkspaces()
	v.checkCallStyles()
	v.checkPresets()
	return v.problems
}

// Validate implements strictjson.Validator.
func (d *Document) Validate() []Problem { return Validate(d) }

type validator struct {
	doc      *Document
	problems []Problem
}

func (v *validator) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	v.problems = append(v.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// checkName checks that a name is well-formed and unique in its list.
func (v *validator) checkName(seen map[string]bool, name, field string) {
	v.require(namePattern.MatchString(name), field, "%q is not a name: use lower-case letters, digits, '.', '_' and '-', at most 64", name)
	v.checkUnique(seen, name, field)
}

func (v *validator) checkUnique(seen map[string]bool, name, field string) {
	v.require(!seen[name], field, "%q is given twice", name)
	seen[name] = true
}

// checkDataCentreRefs checks that a list of data centre names has no duplicates
// and names only declared data centres.
func (v *validator) checkDataCentreRefs(list []string, field string) {
	seen := make(map[string]bool)
	for i, name := range list {
		path := fmt.Sprintf("%s[%d]", field, i)
		v.checkUnique(seen, name, path)
		v.checkDataCentreRef(name, path)
	}
}

func (v *validator) checkDataCentreRef(name, field string) {
	ok := slices.ContainsFunc(v.doc.DataCentres, func(dc DataCentre) bool { return dc.Name == name })
	v.require(ok, field, "data centre %q is not declared in data_centres", name)
}

func (v *validator) findService(name string) (*Service, bool) {
	i := slices.IndexFunc(v.doc.Services, func(s Service) bool { return s.Name == name })
	return elementAt(v.doc.Services, i, i >= 0)
}

func (v *validator) findClass(name string) (*MachineClass, bool) {
	i := slices.IndexFunc(v.doc.Classes, func(c MachineClass) bool { return c.Name == name })
	return elementAt(v.doc.Classes, i, i >= 0)
}

func (v *validator) checkDataCentres() {
	v.require(len(v.doc.DataCentres) > 0, "data_centres", "at least one data centre is needed")
	names := make(map[string]bool)
	for i, dc := range v.doc.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		v.checkName(names, dc.Name, path+".name")
		v.require(dc.Region != "", path+".region", "must not be empty")
	}
}

func (v *validator) checkClasses() {
	v.require(len(v.doc.Classes) > 0, "machine_classes", "at least one machine class is needed")
	names := make(map[string]bool)
	for i, c := range v.doc.Classes {
		path := fmt.Sprintf("machine_classes[%d]", i)
		v.checkName(names, c.Name, path+".name")
		v.require(c.Accelerators >= 0, path+".accelerators", "must not be negative")
		v.require(len(c.Prices) > 0, path+".prices", "at least one data centre must offer the class")
		v.checkPrices(c.Prices, path+".prices")
	}
}

func (v *validator) checkPrices(list []Price, field string) {
	seen := make(map[string]bool)
	for i, p := range list {
		path := fmt.Sprintf("%s[%d]", field, i)
		v.checkUnique(seen, p.DataCentre, path+".data_centre")
		v.checkDataCentreRef(p.DataCentre, path+".data_centre")
		v.require(p.OnDemand > 0, path+".on_demand_per_hour", "must be more than 0, in currency units per hour")
		v.require(p.Reclaimable > 0, path+".reclaimable_per_hour", "must be more than 0, in currency units per hour")
	}
}

func (v *validator) checkWorkspaces() {
	v.require(len(v.doc.Workspaces) > 0, "workspaces", "at least one workspace is needed")
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i := range v.doc.Workspaces {
		w := &v.doc.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		v.checkName(names, w.Name, path+".name")
		v.checkKeyHashes(hashes, w.KeyHashes, path+".key_sha256")
		v.require(len(w.DataCentres) > 0, path+".data_centres", "at least one data centre must be allowed")
		v.checkDataCentreRefs(w.DataCentres, path+".data_centres")
		v.require(w.Weight >= 1, path+".weight", "must be at least 1")
		v.require(w.MaxInFlight >= 1, path+".max_in_flight", "must be at least 1 request")
		v.checkWorkspaceServices(w, path+".services")
	}
}

func (v *validator) checkKeyHashes(seen map[string]bool, list []string, field string) {
	v.require(len(list) > 0, field, "at least one key is needed")
	for i, hash := range list {
		path := fmt.Sprintf("%s[%d]", field, i)
		_, ok := ParseKeyHash(hash)
		v.require(ok, path, "must be a SHA-256 hash: 64 lower-case hex digits")
		v.checkUnique(seen, hash, path)
	}
}

func (v *validator) checkWorkspaceServices(w *Workspace, field string) {
	v.require(len(w.Services) > 0, field, "at least one service is needed")
	seen := make(map[string]bool)
	for i, name := range w.Services {
		path := fmt.Sprintf("%s[%d]", field, i)
		v.checkUnique(seen, name, path)
		s, ok := v.findService(name)
		v.require(ok, path, "service %q is not declared in services", name)
		if ok && len(w.DataCentres) > 0 {
			v.checkClassOffered(s, w, path)
		}
	}
}

// checkClassOffered checks that at least one data centre allowed for the workspace
// offers the service's machine class.
func (v *validator) checkClassOffered(s *Service, w *Workspace, field string) {
	c, ok := v.findClass(s.Class)
	if !ok {
		return
	}
	ok = slices.ContainsFunc(c.Prices, func(p Price) bool { return slices.Contains(w.DataCentres, p.DataCentre) })
	v.require(ok, field, "no data centre allowed for workspace %q offers machine class %q of service %q", w.Name, c.Name, s.Name)
}

// validWeight reports whether a weight is finite and not negative.
func validWeight(f float64) bool { return f >= 0 && !math.IsInf(f, 0) && !math.IsNaN(f) }
