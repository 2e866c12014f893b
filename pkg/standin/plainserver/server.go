// Package plainserver simulates a plain HTTP service: an availability check,
// bed holds, reminders and bookings. It counts how often each work item ran.
package plainserver

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
)

// NotRunHeader is set by an endpoint that refuses a request before running any of it.
const NotRunHeader = "Endpoint-Not-Run"

// RunCounter counts the runs of non-idempotent work items over all endpoints
// of a service.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{counts: make(map[string]int)}
}

// Runs returns the number of runs of each item.
func (c *RunCounter) Runs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		out[k] = n
	}
	return out
}

func (c *RunCounter) add(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key]++
	return c.counts[key]
}

// WorkRequest is the body of a hold, reminder or booking request.
type WorkRequest struct {
	// Item identifies the bed or boiler; runs are counted per item.
	Item string `json:"item"`
}

// WorkResult is the response to a hold, reminder or booking request.
type WorkResult struct {
	Item string `json:"item"`
	// Run is the number of times the item has run, including this run.
	Run int `json:"run"`
}

// Server is one endpoint of a plain service.
type Server struct {
	runs    *RunCounter
	delay   time.Duration
	leaving atomic.Bool
}

// New returns an endpoint that responds to work requests after a delay.
func New(runs *RunCounter, delay time.Duration) *Server {
	return &Server{runs: runs, delay: delay}
}

// SetLeaving makes the endpoint refuse new work and report it as not run.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Handler returns the endpoint's HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/availability", s.availability)
	e.POST("/holds", s.runWork)
	e.POST("/reminders", s.runWork)
	e.POST("/bookings", s.runWork)
	return e
}

func (s *Server) availability(c *echo.Context) error {
	return c.JSON(http.StatusOK, WorkRequest{Item: c.QueryParam("item")})
}

func (s *Server) runWork(c *echo.Context) error {
	var req WorkRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil || req.Item == "" {
		return c.NoContent(http.StatusBadRequest)
	}
	if s.leaving.Load() {
		c.Response().Header().Set(NotRunHeader, "leaving")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	run := s.runs.add(req.Item)
	time.Sleep(s.delay)
	return c.JSON(http.StatusOK, WorkResult{Item: req.Item, Run: run})
}
