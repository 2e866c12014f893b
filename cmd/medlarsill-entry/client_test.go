package main

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/cloud/httpcloud"
	"github.com/medlarsill/medlarsill/pkg/engine"
	"github.com/medlarsill/medlarsill/pkg/engine/httpengine"
	"github.com/medlarsill/medlarsill/pkg/httpconn/httpconntest"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/objectstore/httpstore"
)

// Guards against malformed answers of endpoints, the object store and the cloud API that count as the answers to what was
// asked: what was sent may have been carried out.
func TestClient_TakesNoMalformedAnswer(t *testing.T) {
	ctx := context.Background()
	for name, answer := range httpconntest.Malformed("{}") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := httpconntest.Serve(t, answer)
			client := newClient()
			defer client.CloseIdleConnections()
			base := "http://" + s.HostPort()

			engines := httpengine.NewClient(client)
			_, err := engines.Generate(ctx, s.HostPort(), engine.Request{})
			g.Expect(err).To(MatchError(engine.ErrBroken), "generate")
			_, err = engines.Load(ctx, s.HostPort())
			g.Expect(err).To(MatchError(engine.ErrBroken), "load")
			g.Expect(engines.Probe(ctx, s.HostPort())).To(MatchError(engine.ErrBroken), "probe")
			g.Expect(engines.Order(ctx, s.HostPort(), engine.Order{})).To(MatchError(engine.ErrBroken), "order")
			g.Expect(engines.ExportKV(ctx, s.HostPort(), "10.0.0.9:1", "a")).To(MatchError(engine.ErrBroken), "export")

			store := httpstore.NewClient(base, client)
			g.Expect(store.Delete(ctx, "a", 1)).To(MatchError(objectstore.ErrUnknown), "delete")
			_, err = store.Create(ctx, "a", []byte("{}"))
			g.Expect(err).To(MatchError(objectstore.ErrUnknown), "create")
			_, err = store.Get(ctx, "a")
			g.Expect(err).To(MatchError(objectstore.ErrUnavailable), "get")

			clouds := httpcloud.NewClient(base, client)
			g.Expect(clouds.Stop(ctx, "i-1")).To(MatchError(cloud.ErrUnknown), "stop")
			_, err = clouds.Start(ctx, cloud.StartRequest{})
			g.Expect(err).To(MatchError(cloud.ErrUnknown), "start")
		})
	}
}
