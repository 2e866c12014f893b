package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
)

// leasePrefix is the prefix of leases in the object store.
const leasePrefix = "leases/"

// getStatus returns the state of the system. Parts that can't be read are listed
// in Errors, so that it also works during an outage.
func (s *Server) getStatus(c *echo.Context, _ auth.Operator) error {
	ctx := c.Request().Context()
	out := &api.Status{
		Entries: []api.Entry{}, Endpoints: []api.Endpoints{}, Capacity: []api.Capacity{},
		Limits: []api.Limit{}, Leases: []api.Lease{}, Errors: []string{},
	}
	s.statusConfig(ctx, out)
	s.statusEntries(ctx, out)
	s.statusLeases(ctx, out)
	return c.JSON(http.StatusOK, out)
}

func (s *Server) statusConfig(ctx context.Context, out *api.Status) {
	instances, err := s.Cloud.List(ctx)
	if err != nil {
		out.Errors = append(out.Errors, "endpoints: "+err.Error())
	}
	out.Endpoints = countEndpoints(instances)
	stored, err := s.Config.Read(ctx)
	if err != nil {
		out.Errors = append(out.Errors, "configuration: "+err.Error())
		return
	}
	if stored.Envelope == nil {
		out.Errors = append(out.Errors, "configuration: there is none yet")
		return
	}
	env := stored.Envelope
	out.Organisation, out.Revision, out.Preset = env.Document.Organisation, env.Revision, env.Preset
	out.Limits = limits(env)
	out.Capacity = capacity(env, out.Endpoints)
}

func limits(env *config.Envelope) []api.Limit {
	out := make([]api.Limit, 0, len(env.Document.Workspaces))
	for i := range env.Document.Workspaces {
		w := &env.Document.Workspaces[i]
		out = append(out, api.Limit{
			Workspace: w.Name, Weight: w.Weight, MaxInFlight: w.MaxInFlight,
			DataCentres: env.AllowedDataCentres(w),
		})
	}
	return out
}

func capacity(env *config.Envelope, endpoints []api.Endpoints) []api.Capacity {
	preset, ok := env.Document.PresetByName(env.Preset)
	if !ok {
		return []api.Capacity{}
	}
	out := make([]api.Capacity, 0, len(preset.Capacity))
	for _, c := range preset.Capacity {
		row := api.Capacity{Service: c.Service, Min: c.Min, Max: c.Max}
		for _, e := range endpoints {
			if e.Service == c.Service {
				row.Ready += e.Ready
			}
		}
		out = append(out, row)
	}
	return out
}

// countEndpoints counts instances by service, data centre and state.
func countEndpoints(instances []cloud.Instance) []api.Endpoints {
	type key struct{ service, dataCentre string }
	rows := make(map[key]*api.Endpoints)
	for _, in := range instances {
		k := key{in.Service, in.DataCentre}
		if rows[k] == nil {
			rows[k] = &api.Endpoints{Service: in.Service, DataCentre: in.DataCentre}
		}
		switch in.State {
		case cloud.StateStarting:
			rows[k].Starting++
		case cloud.StateReady:
			rows[k].Ready++
		case cloud.StateLeaving:
			rows[k].Leaving++
		}
	}
	out := make([]api.Endpoints, 0, len(rows))
	for _, row := range rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b api.Endpoints) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

func (s *Server) statusEntries(ctx context.Context, out *api.Status) {
	entries, err := s.Fleet.Entries(ctx)
	if err != nil {
		out.Errors = append(out.Errors, "entries, shown as last registered: "+err.Error())
	}
	if entries != nil {
		out.Entries = entries
	}
}

// lease holds the fields of a lease object that the status shows.
type lease struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

func (s *Server) statusLeases(ctx context.Context, out *api.Status) {
	objects, err := s.Store.List(ctx, leasePrefix)
	if err != nil {
		out.Errors = append(out.Errors, "leases: "+err.Error())
		return
	}
	for _, o := range objects {
		var l lease
		if err := json.Unmarshal(o.Value, &l); err != nil {
			continue
		}
		out.Leases = append(out.Leases, api.Lease{Name: strings.TrimPrefix(o.Key, leasePrefix), Holder: l.Holder, Fence: l.Fence})
	}
}
