package controller_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/controller"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

// Guards against a controller that takes a state of another format for an empty one of its
// own and overwrites it: of a build that stored a format, and of an older one.
func TestController_RefusesStateOfOtherFormat(t *testing.T) {
	for _, value := range []string{`{"format":"scaling/planner","saved_ms":1700000000000,"services":{}}`, `{"saved_ms":1700000000000,"services":{}}`} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store, c := memstore.New(), newFakeCloud()
			_, err := store.Create(t.Context(), controller.StateKey, []byte(value))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			n := newNode(0, store, c, &fakeEngines{}, &fixedConfig{env: envelope(true)})
			n.lease.set(1, true)
			g.Expect(n.Step(t.Context())).To(gomega.And(gomega.MatchError(controller.ErrNotStored), gomega.MatchError(controller.ErrStateFormat)))
			g.Expect(c.list()).To(gomega.BeEmpty())
			o, err := store.Get(t.Context(), controller.StateKey)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(o.Value)).To(gomega.Equal(value))
		})
	}
}

// Guards against a controller that refuses the state of a build that stored no format, and
// so starts its instances a second time.
func TestController_LoadsStateOfOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store, c, f := memstore.New(), newFakeCloud(), &fixedConfig{env: envelope(true)}
		a := newNode(0, store, c, &fakeEngines{}, f)
		a.lease.set(1, true)
		g.Expect(a.Step(t.Context())).To(gomega.Succeed())
		a.lease.set(1, false)
		o, err := store.Get(t.Context(), controller.StateKey)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		older := strings.Replace(string(o.Value), `"format":"controller",`, "", 1)
		g.Expect(older).NotTo(gomega.Equal(string(o.Value)))
		_, err = store.Update(t.Context(), controller.StateKey, []byte(older), o.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b := newNode(1, store, c, &fakeEngines{}, f)
		b.lease.set(2, true)
		g.Expect(b.Step(t.Context())).To(gomega.Succeed())
		g.Expect(c.list()).To(gomega.HaveLen(minInstances))
	})
}

// Guards against drains that entries don't follow because the stored state has another
// format, without a log line.
func TestFollowDrains_LogsStateOfOtherFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		store := memstore.New()
		_, err := store.Create(t.Context(), controller.StateKey, []byte(`{"saved_ms":1700000000000,"services":{}}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		var out strings.Builder
		done := make(chan error, 1)
		go func() {
			done <- controller.FollowDrains(ctx, store, time.Now, nil, slog.New(slog.NewJSONHandler(&out, nil)))
		}()
		synctest.Wait()
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
		g.Expect(out.String()).To(gomega.And(gomega.ContainSubstring(`"msg":"ignoring invalid capacity state"`), gomega.ContainSubstring("isn't a controller's")))
	})
}
