package kvcache

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of a Directory.
type metrics struct {
	// results counts the placed requests by Result; nil for None.
	results [NoSource + 1]prometheus.Counter
	tokens  prometheus.Counter
	late    prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, levels func() float64) metrics {
	factory := promauto.With(reg)
	results := factory.NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_kv_prefixes_total", Help: "Requests with a shared prefix that were placed, by how the prefix gets to the endpoint.",
	}, []string{"result"})
	m := metrics{
		tokens: factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_kv_fetched_tokens_total", Help: "Prompt tokens that endpoints were told to fetch."}),
		late:   factory.NewCounter(prometheus.CounterOpts{Name: "medlarsill_kv_fetches_late_total", Help: "Fetches after which the answer began later than with reading."}),
	}
	for result, label := range map[Result]string{Held: "held", Fetched: "chosen", Read: "read instead", NoSource: "no source"} {
		m.results[result] = results.WithLabelValues(label)
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts{Name: "medlarsill_kv_prefixes_known", Help: "Prefixes of which it is known which endpoints have read them."}, levels)
	return m
}

// placed counts a placed request.
func (m *metrics) placed(p Plan) {
	if c := m.results[p.Result]; c != nil {
		c.Inc()
	}
	m.tokens.Add(float64(p.Fetch.Tokens))
}
