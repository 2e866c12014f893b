// Package standin puts the stand-ins of the platform and of the endpoints
// together: object API, cloud, engines and plain services of one organisation.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
	"github.com/medlarsill/medlarsill/pkg/standin/plainserver"
	"github.com/medlarsill/medlarsill/pkg/standin/platform"
)

// Options sets speeds and lags. All times but ListLag and PlainDelay are
// divided by Speed.
type Options struct {
	// Speed is the number of accounted seconds per second of the clock.
	Speed            float64
	TokenInterval    time.Duration
	BatchSlowdown    float64
	PrefillPerToken  time.Duration
	TransferPerToken time.Duration
	// CacheBudget is the prefix cache of an engine, in tokens.
	CacheBudget int
	LoadLag     time.Duration
	EventLag    time.Duration
	EventGap    uint64
	StartDelay  time.Duration
	ModelLoad   time.Duration
	ListLag     time.Duration
	PlainDelay  time.Duration
	Seed        uint64
	// Instances sets how many instances of a service are seeded, in place of
	// the smallest capacity of the initial preset.
	Instances map[string]int
}

// Platform is one organisation's platform with its endpoints.
type Platform struct {
	Store    *memstore.Store
	Cloud    *platform.Cloud
	Faults   *platform.StoreFaults
	Ledger   *plainserver.RunCounter
	Accounts *modelserver.Accounts
	Weights  *modelserver.WeightStore

	options Options
	doc     *config.Document
}

// New returns a platform without configuration and instances.
func New(o Options, doc *config.Document) *Platform {
	p := &Platform{
		Store: memstore.New(), Ledger: plainserver.NewRunCounter(), Accounts: modelserver.NewAccounts(),
		options: o, doc: doc,
	}
	p.Faults = platform.NewStoreFaults(p.Store, o.Seed)
	p.Weights = modelserver.NewWeightStore(p.scaled(o.ModelLoad))
	p.Cloud = platform.NewCloud(platform.Config{
		ListLag: o.ListLag, Host: "127.0.0.1", StartDelay: p.scaled(o.StartDelay), Boot: p.boot,
		Price: doc.PriceOf, Speed: o.Speed,
	}, p.endpoint)
	return p
}

// scaled divides a time by the speed.
func (p *Platform) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.options.Speed)
}

// boot loads the models of a model server from the weight store.
func (p *Platform) boot(r cloud.StartRequest) {
	for range r.Models {
		p.Weights.Fetch(context.Background())
	}
}

// endpoint makes what the instances of a service run.
func (p *Platform) endpoint(r cloud.StartRequest) platform.Endpoint {
	svc, ok := p.doc.ServiceByName(r.Service)
	if ok && svc.Kind == config.KindPlain {
		return plainserver.New(p.Ledger, p.options.PlainDelay)
	}
	o := p.options
	cfg := modelserver.Config{
		DataCentre: r.DataCentre, Models: r.Models, BatchLimit: r.BatchLimit, TokenInterval: p.scaled(o.TokenInterval), BatchSlowdown: o.BatchSlowdown,
		PrefillPerToken: p.scaled(o.PrefillPerToken), TransferPerToken: p.scaled(o.TransferPerToken),
		CacheBudget: o.CacheBudget, LoadLag: p.scaled(o.LoadLag), EventLag: p.scaled(o.EventLag), EventGap: o.EventGap,
		Weights: p.Weights, Accounts: p.Accounts,
	}
	if ok {
		cfg.ChecksFencing = svc.ChecksFencing
	}
	if ok && cfg.BatchLimit == 0 {
		cfg.BatchLimit = svc.BatchLimit
	}
	return modelserver.New(cfg)
}

// SeedConfig stores the configuration.
func (p *Platform) SeedConfig() error {
	env := (*config.Envelope)(nil).Next("seed", p.doc.InitialPreset, p.doc)
	data, err := json.Marshal(env)
	if err != nil {
		return eris.Wrap(err, "stand-in: encode configuration")
	}
	if _, err := p.Store.Create(context.Background(), config.Key, data); err != nil {
		return eris.Wrap(err, "stand-in: store configuration")
	}
	return nil
}

// SeedInstances starts the smallest capacity of the initial preset, spread
// over the data centres. The instances are ready at once.
func (p *Platform) SeedInstances() error {
	preset, ok := p.doc.PresetByName(p.doc.InitialPreset)
	if !ok {
		return eris.Errorf("stand-in: no preset %q", p.doc.InitialPreset)
	}
	for _, capacity := range preset.Capacity {
		n, given := p.options.Instances[capacity.Service]
		if !given {
			n = capacity.Min
		}
		for i := range n {
			if _, err := p.Cloud.StartReady(p.seedStart(capacity, i)); err != nil {
				return eris.Wrap(err, "stand-in: start")
			}
		}
	}
	return nil
}

// seedStart returns the start of an instance. Reclaimable ones are spread
// evenly among the on-demand ones.
func (p *Platform) seedStart(capacity config.Capacity, i int) cloud.StartRequest {
	svc, _ := p.doc.ServiceByName(capacity.Service)
	before := int(float64(i) * capacity.ReclaimableShare)
	after := int(float64(i+1) * capacity.ReclaimableShare)
	return cloud.StartRequest{
		Service: svc.Name, Class: svc.Class, Models: svc.Models, BatchLimit: svc.BatchLimit,
		DataCentre:  p.doc.DataCentres[i%len(p.doc.DataCentres)].Name,
		Reclaimable: after > before,
		Token:       fmt.Sprintf("%s-seed-%d", svc.Name, i),
	}
}

// Accounting is the answer of GET /accounting.
type Accounting struct {
	Cloud platform.Account   `json:"cloud"`
	Work  modelserver.Totals `json:"work"`
	// RepeatedRuns counts pieces of non-idempotent work that ran more than once.
	RepeatedRuns int `json:"repeated_runs"`
	// WeightQueue is the number of model loads that wait or run.
	WeightQueue int `json:"weight_queue"`
	// Speed is the number of accounted seconds per second; work seconds are not scaled by it.
	Speed float64 `json:"speed"`
	// StoreCalls counts the calls of the object API by operation.
	StoreCalls map[memstore.Op]int `json:"store_calls"`
}

// Accounting returns the sums up to now.
func (p *Platform) Accounting() Accounting {
	out := Accounting{
		Cloud: p.Cloud.Account(), Work: p.Accounts.Totals(), WeightQueue: p.Weights.Queue(),
		Speed: p.options.Speed, StoreCalls: p.Store.Calls(),
	}
	for _, n := range p.Ledger.Runs() {
		if n > 1 {
			out.RepeatedRuns++
		}
	}
	return out
}

// Register serves the object API, the cloud API, faults, runs and accounting.
func (p *Platform) Register(e *echo.Echo) {
	httpstore.Register(e, p.Store)
	platform.Register(e, p.Cloud)
	platform.RegisterFaults(e, p.Cloud, p.Faults)
	e.GET("/runs", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Ledger.Runs()) })
	e.GET("/attempts", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Accounts.Places()) })
	e.GET("/accounting", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Accounting()) })
}

// Close ends all instances.
func (p *Platform) Close() { p.Cloud.Close() }
