package endpointspeed

import "github.com/prometheus/client_golang/prometheus"

// factorBuckets are the upper bounds of the buckets of the distribution of factors.
var factorBuckets = []float64{0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 4}

// metrics holds the metrics of endpoint speeds. It is a collector of the current factors.
type metrics struct {
	// samples counts the times observed, and ignored the messages of peers that can't be used.
	samples, ignored prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, f *Factors) metrics {
	m := metrics{
		samples: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_endpoint_speed_samples_total", Help: "Answers whose time was compared with the one expected of the service.",
		}),
		ignored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "medlarsill_endpoint_speed_reports_ignored_total", Help: "Messages with reports of endpoint speeds that can't be decoded.",
		}),
	}
	known := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "medlarsill_endpoint_speeds_known", Help: "Endpoints with enough samples to know their factor.",
	}, func() float64 { return float64(f.Known()) })
	reg.MustRegister(m.samples, m.ignored, known, &distribution{factors: f, desc: prometheus.NewDesc(
		"medlarsill_endpoint_speed_factor", "Current factors of the endpoints: the time that they take as a multiple of the one expected of their service.", []string{"service"}, nil,
	)})
	return m
}

// Known returns the number of endpoints with enough samples to know their factor.
func (f *Factors) Known() int {
	n := 0
	for _, s := range f.known.Load().byKey {
		if s.isKnown() {
			n++
		}
	}
	return n
}

// distribution collects the distribution of the current factors by service.
type distribution struct {
	factors *Factors
	desc    *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (d *distribution) Describe(descs chan<- *prometheus.Desc) { descs <- d.desc }

// Collect implements prometheus.Collector.
func (d *distribution) Collect(out chan<- prometheus.Metric) {
	type histogram struct {
		count   uint64
		total   float64
		buckets map[float64]uint64
	}
	services := make(map[string]*histogram)
	for _, s := range d.factors.known.Load().byKey {
		h, ok := services[s.service.name]
		if !ok {
			h = &histogram{buckets: make(map[float64]uint64, len(factorBuckets))}
			services[s.service.name] = h
		}
		factor := s.factor.load()
		h.count++
		h.total += factor
		for _, bound := range factorBuckets {
			if factor <= bound {
				h.buckets[bound]++
			}
		}
	}
	for name, h := range services {
		out <- prometheus.MustNewConstHistogram(d.desc, h.count, h.total, h.buckets, name)
	}
}
