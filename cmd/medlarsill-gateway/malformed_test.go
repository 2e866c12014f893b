package main

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/httpconn/httpconntest"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/scaling"
	"github.com/medlarsill/medlarsill/pkg/usage"
	"github.com/medlarsill/medlarsill/platform"
)

// Guards against malformed answers of the platform's store and cloud API that count as the answers to what was asked:
// what was sent may have been carried out.
func TestPlatformClient_TakesNoMalformedAnswer(t *testing.T) {
	ctx := context.Background()
	for name, answer := range httpconntest.Malformed("{}") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := httpconntest.Serve(t, answer)
			client := newPlatformClient()
			defer client.CloseIdleConnections()

			store := platform.NewStore(s.HostPort(), client, func() time.Duration { return time.Second })
			g.Expect(store.Delete(ctx, "config/main", 1)).To(MatchError(objectstore.ErrUnknown), "delete")
			_, err := store.Create(ctx, "config/main", []byte("{}"))
			g.Expect(err).To(MatchError(objectstore.ErrUnknown), "create")
			_, err = store.Get(ctx, "config/main")
			g.Expect(err).To(MatchError(objectstore.ErrUnavailable), "get")
			_, err = store.List(ctx, "config/")
			g.Expect(err).To(MatchError(objectstore.ErrUnavailable), "list")
			_, err = store.Watch(ctx, "config/", 1)
			g.Expect(err).To(MatchError(objectstore.ErrUnavailable), "watch")

			clouds := platform.NewCloud(s.HostPort(), "gw-1", client)
			g.Expect(clouds.ReportUsage(ctx, 1, 1, usage.Counts{})).To(MatchError(cloud.ErrUnknown), "usage")
			g.Expect(clouds.Order(ctx, 1, scaling.Order{})).To(MatchError(cloud.ErrUnknown), "order")
		})
	}
}
