package modelserver_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/standin/modelserver"
)

// fill adds loads to a store until it refuses them, and returns a function that ends them.
func fill(w *modelserver.WeightStore) (empty func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var loads sync.WaitGroup
	for before := -1; before < w.PendingLoads(); synctest.Wait() {
		before = w.PendingLoads()
		loads.Go(func() { w.Fetch(ctx) })
		synctest.Wait()
	}
	return func() {
		cancel()
		loads.Wait()
	}
}

// Guards against a model whose load the weight store refused, and which the engine reports
// as loaded and answers with.
func TestEnsureModel_RefusedLoadIsNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		weights := modelserver.NewWeightStore(time.Second)
		s := modelserver.New(modelserver.Config{BatchLimit: 4, Models: []string{"first"}, Weights: weights})
		request := engine.Request{ID: "a/1", Model: "second", Messages: []engine.Message{{Role: "user", Content: "hello"}}}
		empty := fill(weights)
		g.Expect(post(s, "/orders", engine.Order{Kind: engine.OrderLoadModel, Name: "second"})).To(gomega.Equal(200))
		synctest.Wait()
		g.Expect(s.State().Models).To(gomega.Equal([]string{"first"}))
		g.Expect(generate(s, request, 0)).To(gomega.BeEmpty())

		empty()
		g.Expect(generate(s, request, 0)).NotTo(gomega.BeEmpty(), "the load is tried again")
		g.Expect(s.State().Models).To(gomega.Equal([]string{"first", "second"}))
	})
}
