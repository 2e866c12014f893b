// Package modelserver simulates a model engine. Its answers are a pure function
// of the model and the conversation, so an attempt on any endpoint can continue
// an answer, and a checker can compute the expected one. It simulates the
// properties that matter to routing and capacity decisions: a batch limit, a
// prefix cache with a token budget, KV transfer, delayed reports, and orders
// with fencing tokens.
package modelserver

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
)

// DefaultCacheBudget is the default size of the prefix cache in tokens.
const DefaultCacheBudget = 64 << 10

// Config sets the speed and limits of an engine.
type Config struct {
	// Service is the engine's service; its work is recorded under that name.
	Service string
	// DataCentre is the data centre of the engine; it is recorded with each attempt.
	DataCentre string
	// Models lists the models loaded at the start; empty means all. Other
	// models are loaded on their first request.
	Models []string
	// BatchLimit is the maximum number of requests that run at once.
	BatchLimit int
	// PrefillPerToken is the prefill time per uncached token. An engine runs
	// one prefill at a time.
	PrefillPerToken time.Duration
	// TokenInterval is the time between tokens of a request that is alone in the batch.
	TokenInterval time.Duration
	// BatchSlowdown is the fraction of TokenInterval by which each further
	// request in the batch lengthens the interval.
	BatchSlowdown float64
	// CacheBudget is the size of the prefix cache in tokens; 0 means DefaultCacheBudget.
	CacheBudget int
	// TransferPerToken is the time to import one token of KV cache.
	TransferPerToken time.Duration
	// LoadLag is the delay of load reports.
	LoadLag time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventGap omits every EventGap-th cache event; 0 omits none.
	EventGap uint64
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// Weights is the store that models are loaded from; if nil, loading takes no time.
	Weights *WeightStore
	// Stats records the work of the engine; if nil, New creates one.
	Stats *WorkStats
	// Transfer is the HTTP client that sends KV cache to other endpoints; nil
	// means http.DefaultClient.
	Transfer *http.Client
}

// Server is a simulated engine.
type Server struct {
	cfg         Config
	batch       batch
	cache       *cache
	prefillSlot chan struct{}
	loadHistory loadHistory
	leaving     atomic.Pointer[time.Time]
	faults      faults
	// attempts stores the attempts whose KV cache may still be present.
	attempts attempts

	mu       sync.Mutex
	fence    uint64
	draining bool
	role     string
	models   map[string]bool
	loading  map[string]chan struct{}
}

// New returns an engine.
func New(cfg Config) *Server {
	if cfg.CacheBudget == 0 {
		cfg.CacheBudget = DefaultCacheBudget
	}
	if cfg.Stats == nil {
		cfg.Stats = NewWorkStats()
	}
	if cfg.Transfer == nil {
		cfg.Transfer = http.DefaultClient
	}
	s := &Server{
		cfg:         cfg,
		cache:       newCache(cfg.CacheBudget),
		prefillSlot: make(chan struct{}, 1),
		models:      make(map[string]bool),
		loading:     make(map[string]chan struct{}),
	}
	s.batch = batch{limit: max(cfg.BatchLimit, 1), onChange: s.loadHistory.record}
	for _, m := range cfg.Models {
		s.models[m] = true
	}
	return s
}

// SetLeaving makes the engine report that it is leaving.
func (s *Server) SetLeaving() {
	now := time.Now()
	s.leaving.CompareAndSwap(nil, &now)
}

// isLeaving reports whether SetLeaving was called.
func (s *Server) isLeaving() bool { return s.leaving.Load() != nil }

// Attempts returns the number of attempts that this engine has prefilled or imported.
func (s *Server) Attempts() int {
	s.attempts.mu.Lock()
	defer s.attempts.mu.Unlock()
	return s.attempts.total
}

// Handler returns the engine's HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.POST("/generate", s.generate)
	e.GET("/load", s.reportLoad)
	e.GET("/cache-events", s.reportCacheEvents)
	e.POST("/kv/export", s.exportKV)
	e.POST("/kv/import", s.importKV)
	e.POST("/orders", s.handleOrder)
	return e
}

func (s *Server) generate(c *echo.Context) error {
	var r engine.Request
	if err := json.NewDecoder(c.Request().Body).Decode(&r); err != nil || len(r.Messages) == 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	if at := s.leaving.Load(); at != nil {
		s.cfg.Stats.recordAfterNotice(time.Since(*at))
	}
	if s.isLeaving() || s.isDraining() {
		c.Response().Header().Set(httpengine.NotRunHeader, "leaving")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	st := newStream(s, &r, c.Response())
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	defer s.faults.track(st, cancel)()
	if !s.batch.acquire(ctx, r.Priority) {
		return nil
	}
	defer s.batch.release()
	st.run(ctx)
	return nil
}

// tokenInterval returns the time between tokens at the current batch size.
func (s *Server) tokenInterval() time.Duration {
	return s.tokenIntervalAt(s.batch.runningCount())
}

func (s *Server) tokenIntervalAt(size int) time.Duration {
	factor := 1 + s.cfg.BatchSlowdown*float64(max(size-1, 0))
	return time.Duration(float64(s.cfg.TokenInterval) * factor)
}

// fullBatchTokenTime returns the engine time per decoded token when the batch is full.
func (s *Server) fullBatchTokenTime() time.Duration {
	return s.tokenIntervalAt(s.batch.limit) / time.Duration(s.batch.limit)
}

func (s *Server) reportLoad(c *echo.Context) error {
	running, waiting := s.loadHistory.at(time.Now().Add(-s.cfg.LoadLag))
	return c.JSON(http.StatusOK, engine.Load{
		Running:     running,
		Waiting:     waiting,
		BatchLimit:  s.batch.limit,
		CacheTokens: s.cache.size(),
		CacheBudget: s.cfg.CacheBudget,
		Leaving:     s.isLeaving() || s.isDraining(),
		Models:      s.State().Models,
	})
}

func (s *Server) reportCacheEvents(c *echo.Context) error {
	var q struct {
		After uint64 `query:"after"`
	}
	if err := c.Bind(&q); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return c.JSON(http.StatusOK, s.cache.eventsSince(q.After, s.cfg.EventLag, s.cfg.EventGap))
}
