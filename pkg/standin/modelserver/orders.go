package modelserver

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/engine"
)

// State is the part of an engine's state that orders can change.
type State struct {
	Fence    uint64   `json:"fence"`
	Draining bool     `json:"draining"`
	Role     string   `json:"role"`
	Models   []string `json:"models"`
}

// State returns the current state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{Fence: s.fence, Draining: s.draining, Role: s.role, Models: []string{}}
	for m := range s.models {
		st.Models = append(st.Models, m)
	}
	slices.Sort(st.Models)
	return st
}

// handleOrder handles POST /orders. It responds 409 to an order with an old
// fencing token. Models are loaded in the background.
func (s *Server) handleOrder(c *echo.Context) error {
	var o engine.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	if !s.applyOrder(o) {
		return c.NoContent(http.StatusConflict)
	}
	if o.Kind == engine.OrderLoadModel || o.Kind == engine.OrderLoadAdapter {
		go s.ensureModel(context.Background(), o.Name)
	}
	return c.NoContent(http.StatusOK)
}

// applyOrder checks the fencing token, applies drain and role orders, and
// reports whether the order was accepted.
func (s *Server) applyOrder(o engine.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Fence < s.fence {
		return false
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Kind {
	case engine.OrderDrain:
		s.draining = true
	case engine.OrderSetRole:
		s.role = o.Name
	}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// ensureModel waits until a model is loaded; concurrent calls share one load.
// It reports false if the load was refused or ctx ended first.
func (s *Server) ensureModel(ctx context.Context, name string) bool {
	s.mu.Lock()
	if s.cfg.Weights == nil || len(s.cfg.Models) == 0 || s.models[name] {
		s.mu.Unlock()
		return true
	}
	done, ok := s.loading[name]
	if !ok {
		done = make(chan struct{})
		s.loading[name] = done
		go s.loadModel(name, done)
	}
	s.mu.Unlock()
	select {
	case <-done:
		return s.hasModel(name)
	case <-ctx.Done():
		return false
	}
}

func (s *Server) loadModel(name string, done chan struct{}) {
	loaded := s.cfg.Weights.Fetch(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	if loaded {
		s.models[name] = true
	}
	delete(s.loading, name)
	close(done)
}

func (s *Server) hasModel(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models[name]
}
