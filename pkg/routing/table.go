package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/medlarsill/medlarsill/pkg/reqtarget"
)

// Table is a configuration indexed for lookups. It is immutable.
type Table struct {
	Config
	// hosts holds the routes of each host, those with the longest prefixes first.
	hosts      map[string][]hostRoute
	services   map[string]*Service
	workspaces map[string]*Workspace
	// streamServices holds the services that routes for streams lead to.
	streamServices []string
}

// hostRoute is a route of a host, with its prefix in the form in which paths are compared.
type hostRoute struct {
	prefix string
	route  *Route
}

// NewTable returns the Table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, hosts: make(map[string][]hostRoute),
		services: make(map[string]*Service), workspaces: make(map[string]*Workspace),
		streamServices: streamServices(c.Routes),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], hostRoute{prefix: reqtarget.ComparedPath(r.Prefix), route: r})
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b hostRoute) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// Match returns the route with the longest prefix that begins the path of a target. The host may
// include a port.
func (t *Table) Match(host string, target reqtarget.Target) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(target.Path(), r.prefix) {
			return r.route, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// StreamServices returns the services that routes for streams lead to. The caller must not
// modify the slice. A nil table has none.
func (t *Table) StreamServices() []string {
	if t == nil {
		return nil
	}
	return t.streamServices
}

// streamServices returns the services that routes for streams lead to, sorted.
func streamServices(routes []Route) []string {
	var out []string
	for _, r := range routes {
		if r.Kind != Stream {
			continue
		}
		for _, w := range r.Split {
			if !slices.Contains(out, w.Service) {
				out = append(out, w.Service)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// NeedsKeys reports whether requests must carry the key of a workspace.
func (t *Table) NeedsKeys() bool { return len(t.Workspaces) > 0 }

// PickService chooses a service in proportion to the weights; random is in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	remaining := int(random * float64(total))
	for _, w := range r.Split {
		remaining -= w.Weight
		if remaining < 0 {
			return w.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
