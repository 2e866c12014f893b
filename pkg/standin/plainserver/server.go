// Package plainserver is a small stand-in of a plain service: an availability
// check, a bed hold and a reminder. It counts how often each key ran.
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

// Ledger counts the runs of non-idempotent work over all endpoints of a service.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewRunCounter() *RunCounter {
	return &RunCounter{runs: make(map[string]int)}
}

// Runs returns how often each piece of work ran.
func (l *RunCounter) Runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.runs))
	for k, n := range l.runs {
		out[k] = n
	}
	return out
}

func (l *RunCounter) add(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	return l.runs[key]
}

// Work is the body of a hold or a reminder.
type Work struct {
	// Item is the bed or the boiler; the ledger counts runs by it.
	Item string `json:"item"`
}

// Done is the answer to a hold or a reminder.
type Done struct {
	Item string `json:"item"`
	// Run is how often the item has run, this run included.
	Run int `json:"run"`
}

// Server is one endpoint of a plain service.
type Server struct {
	ledger  *RunCounter
	delay   time.Duration
	leaving atomic.Bool
}

// New returns an endpoint that answers after a delay.
func New(l *RunCounter, delay time.Duration) *Server {
	return &Server{ledger: l, delay: delay}
}

// SetLeaving makes the endpoint refuse new work as not run.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Handler returns the endpoint's HTTP interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.GET("/availability", s.availability)
	e.POST("/holds", s.work)
	e.POST("/reminders", s.work)
	e.POST("/bookings", s.work)
	return e
}

func (s *Server) availability(c *echo.Context) error {
	return c.JSON(http.StatusOK, Work{Item: c.QueryParam("item")})
}

func (s *Server) work(c *echo.Context) error {
	var w Work
	if err := json.NewDecoder(c.Request().Body).Decode(&w); err != nil || w.Item == "" {
		return c.NoContent(http.StatusBadRequest)
	}
	if s.leaving.Load() {
		c.Response().Header().Set(NotRunHeader, "leaving")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	run := s.ledger.add(w.Item)
	time.Sleep(s.delay)
	return c.JSON(http.StatusOK, Done{Item: w.Item, Run: run})
}
