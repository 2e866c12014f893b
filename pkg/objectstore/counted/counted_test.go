package counted

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

func TestStore_CountsCallsByKindOperationAndOutcome(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := New(memstore.New(), prometheus.NewRegistry())
	_, _ = s.Get(ctx, "leases/a")
	o, err := s.Create(ctx, "leases/a", []byte("1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = s.Create(ctx, "leases/a", []byte("1"))
	_, _ = s.Update(ctx, "leases/a", []byte("2"), o.Version)
	_, _ = s.List(ctx, "leases/")
	_, _ = s.Watch(ctx, "leases/", 0)
	_ = s.Delete(ctx, "leases/a", 1<<60)
	count := func(operation, outcome string) float64 {
		return testutil.ToFloat64(s.calls.WithLabelValues("leases", operation, outcome))
	}
	g.Expect(count("get", "not found")).To(Equal(1.0))
	g.Expect(count("create", "ok")).To(Equal(1.0))
	g.Expect(count("create", "conflict")).To(Equal(1.0))
	g.Expect(count("update", "ok")).To(Equal(1.0))
	g.Expect(count("list", "ok")).To(Equal(1.0))
	g.Expect(count("watch", "ok")).To(Equal(1.0))
	g.Expect(count("delete", "conflict")).To(Equal(1.0))
	g.Expect(testutil.ToFloat64(s.readBytes.WithLabelValues("leases"))).To(Equal(2.0), "one byte each of the list and the watch")
}
