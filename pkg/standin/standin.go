// Package standin simulates one organisation's environment for tests and load
// runs: object store, cloud, model engines and plain services.
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

// Options configures the simulation. All durations except ListLag and
// PlainDelay are simulated time, that is, divided by Speed.
type Options struct {
	// Speed is the number of simulated seconds per real second.
	Speed            float64
	TokenInterval    time.Duration
	BatchSlowdown    float64
	PrefillPerToken  time.Duration
	TransferPerToken time.Duration
	// CacheBudget is the size of an engine's prefix cache in tokens.
	CacheBudget int
	LoadLag     time.Duration
	EventLag    time.Duration
	EventGap    uint64
	StartDelay  time.Duration
	ModelLoad   time.Duration
	ListLag     time.Duration
	PlainDelay  time.Duration
	Seed        uint64
	// Instances is the number of instances to seed by service. Services not
	// listed get the minimum capacity of the initial preset.
	Instances map[string]int
}

// Platform is a simulated platform with its endpoints.
type Platform struct {
	Store   *memstore.Store
	Cloud   *platform.Cloud
	Faults  *platform.StoreFaults
	Runs    *plainserver.RunCounter
	Stats   *modelserver.WorkStats
	Weights *modelserver.WeightStore

	options Options
	doc     *config.Document
}

// New returns a platform without stored configuration or instances.
func New(o Options, doc *config.Document) *Platform {
	p := &Platform{
		Store: memstore.New(), Runs: plainserver.NewRunCounter(), Stats: modelserver.NewWorkStats(),
		options: o, doc: doc,
	}
	p.Faults = platform.NewStoreFaults(p.Store, o.Seed)
	p.Weights = modelserver.NewWeightStore(p.realTime(o.ModelLoad))
	p.Cloud = platform.NewCloud(platform.Config{
		ListLag: o.ListLag, Host: "127.0.0.1", StartDelay: p.realTime(o.StartDelay), Boot: p.boot,
		Price: doc.PriceOf, Speed: o.Speed,
	}, p.newEndpoint)
	return p
}

// realTime converts simulated time to real time.
func (p *Platform) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.options.Speed)
}

// boot loads the models of a new instance from the weight store.
func (p *Platform) boot(r cloud.StartRequest) {
	for range r.Models {
		p.Weights.Fetch(context.Background())
	}
}

// newEndpoint returns the endpoint of a new instance.
func (p *Platform) newEndpoint(r cloud.StartRequest) platform.Endpoint {
	svc, ok := p.doc.ServiceByName(r.Service)
	if ok && svc.Kind == config.KindPlain {
		return plainserver.New(p.Runs, p.options.PlainDelay)
	}
	o := p.options
	cfg := modelserver.Config{
		Service: r.Service, DataCentre: r.DataCentre, Models: r.Models, BatchLimit: r.BatchLimit, TokenInterval: p.realTime(o.TokenInterval), BatchSlowdown: o.BatchSlowdown,
		PrefillPerToken: p.realTime(o.PrefillPerToken), TransferPerToken: p.realTime(o.TransferPerToken),
		CacheBudget: o.CacheBudget, LoadLag: p.realTime(o.LoadLag), EventLag: p.realTime(o.EventLag), EventGap: o.EventGap,
		Weights: p.Weights, Stats: p.Stats,
	}
	if ok {
		cfg.ChecksFencing = svc.ChecksFencing
	}
	if ok && cfg.BatchLimit == 0 {
		cfg.BatchLimit = svc.BatchLimit
	}
	return modelserver.New(cfg)
}

// SeedConfig stores the configuration in the object store.
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

// SeedInstances starts Options.Instances or the minimum capacity of the initial
// preset, spread over the data centres. The instances are ready immediately.
func (p *Platform) SeedInstances() error {
	preset, ok := p.doc.PresetByName(p.doc.InitialPreset)
	if !ok {
		return eris.Errorf("stand-in: seed instances: no preset %q", p.doc.InitialPreset)
	}
	for _, capacity := range preset.Capacity {
		n, given := p.options.Instances[capacity.Service]
		if !given {
			n = capacity.Min
		}
		for i := range n {
			if _, err := p.Cloud.StartReady(p.seedRequest(capacity, i)); err != nil {
				return eris.Wrap(err, "stand-in: start instance")
			}
		}
	}
	return nil
}

// seedRequest returns the start request of the i-th instance of a service.
// Reclaimable instances are spread evenly among the on-demand ones.
func (p *Platform) seedRequest(capacity config.Capacity, i int) cloud.StartRequest {
	svc, _ := p.doc.ServiceByName(capacity.Service)
	reclaimableBefore := int(float64(i) * capacity.ReclaimableShare)
	reclaimableAfter := int(float64(i+1) * capacity.ReclaimableShare)
	return cloud.StartRequest{
		Service: svc.Name, Class: svc.Class, Models: svc.Models, BatchLimit: svc.BatchLimit,
		DataCentre:  p.doc.DataCentres[i%len(p.doc.DataCentres)].Name,
		Reclaimable: reclaimableAfter > reclaimableBefore,
		Token:       fmt.Sprintf("%s-seed-%d", svc.Name, i),
	}
}

// Accounting is the response to GET /accounting.
type Accounting struct {
	Cloud platform.CostReport `json:"cloud"`
	Work  modelserver.Totals  `json:"work"`
	// RepeatedRuns counts non-idempotent work items that ran more than once.
	RepeatedRuns int `json:"repeated_runs"`
	// PendingModelLoads is the number of model loads that are queued or running.
	PendingModelLoads int `json:"weight_queue"`
	// Speed is the number of simulated seconds per real second. Work.WorkSeconds
	// is in real seconds.
	Speed float64 `json:"speed"`
	// StoreCalls counts the calls to the object store by operation.
	StoreCalls map[memstore.Op]int `json:"store_calls"`
}

// Accounting returns the totals so far.
func (p *Platform) Accounting() Accounting {
	out := Accounting{
		Cloud: p.Cloud.CostReport(), Work: p.Stats.Totals(), PendingModelLoads: p.Weights.PendingLoads(),
		Speed: p.options.Speed, StoreCalls: p.Store.Calls(),
	}
	for _, n := range p.Runs.Runs() {
		if n > 1 {
			out.RepeatedRuns++
		}
	}
	return out
}

// Register registers the routes of the object API, the cloud API, fault
// injection, run counts, attempts and accounting.
func (p *Platform) Register(e *echo.Echo) {
	httpstore.Register(e, p.Store)
	platform.Register(e, p.Cloud)
	platform.RegisterFaults(e, p.Cloud, p.Faults)
	e.GET("/runs", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Runs.Runs()) })
	e.GET("/attempts", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Stats.AttemptDataCentres()) })
	e.GET("/accounting", func(c *echo.Context) error { return c.JSON(http.StatusOK, p.Accounting()) })
}

// Close ends all instances.
func (p *Platform) Close() { p.Cloud.Close() }
