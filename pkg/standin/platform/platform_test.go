package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/standin/platform"
)

type fakeEndpoint struct{ leaving bool }

// Handler implements platform.Endpoint.
func (e *fakeEndpoint) Handler() http.Handler { return http.NotFoundHandler() }

// SetLeaving implements platform.Endpoint.
func (e *fakeEndpoint) SetLeaving() { e.leaving = true }

func newCloud(t *testing.T) *platform.Cloud {
	c := platform.NewCloud(platform.Config{Host: "127.0.0.1", Speed: 10, Price: func(class, dc string, reclaimable bool) (float64, bool) {
		return 2, dc != "unknown"
	}}, func(cloud.StartRequest) platform.Endpoint { return &fakeEndpoint{} })
	t.Cleanup(c.Close)
	return c
}

// TestStart_StartsOneInstancePerToken checks that a start token is not used
// twice, even after its instance has ended.
func TestStart_StartsOneInstancePerToken(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCloud(t)
	r := cloud.StartRequest{Token: "t", Service: "s", DataCentre: "a"}
	first, err := c.StartReady(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := c.Start(t.Context(), r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again.ID).To(gomega.Equal(first.ID))
	g.Expect(c.Stop(t.Context(), first.ID)).To(gomega.Succeed())
	ended, err := c.Start(t.Context(), r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ended.State).To(gomega.Equal(cloud.StateGone))
	g.Expect(c.Instances()).To(gomega.BeEmpty())
}

// TestRefuseStarts checks refusals by data centre, by class, and in data
// centres that don't offer the class.
func TestRefuseStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCloud(t)
	start := func(dc, class string) error {
		_, err := c.StartReady(cloud.StartRequest{DataCentre: dc, Class: class})
		return err
	}
	c.RefuseStarts("a", "", true)
	c.RefuseStarts("b", "big", true)
	g.Expect(start("a", "small")).To(gomega.MatchError(cloud.ErrRefused))
	g.Expect(start("b", "big")).To(gomega.MatchError(cloud.ErrRefused))
	g.Expect(start("b", "small")).To(gomega.Succeed())
	g.Expect(start("unknown", "small")).To(gomega.MatchError(cloud.ErrRefused))
	c.RefuseStarts("a", "", false)
	g.Expect(start("a", "small")).To(gomega.Succeed())
	g.Expect(c.CostReport().Refusals).To(gomega.Equal(3))
}

// TestFrozenListAndWithheldNotices checks that a reclaim is invisible while both
// faults are on and visible afterwards.
func TestFrozenListAndWithheldNotices(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCloud(t)
	in, err := c.StartReady(cloud.StartRequest{Token: "t", DataCentre: "a", Reclaimable: true})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c.FreezeList(true)
	c.WithholdNotices(true)
	g.Expect(c.ReclaimDataCentre("a", time.Hour)).To(gomega.Equal(1))
	list, _ := c.List(t.Context())
	g.Expect(list).To(gomega.ConsistOf(gomega.HaveField("State", cloud.StateReady)))
	c.FreezeList(false)
	c.WithholdNotices(false)
	list, _ = c.List(t.Context())
	g.Expect(list).To(gomega.ConsistOf(gomega.HaveField("State", cloud.StateLeaving)))
	notices, _ := c.Notices(t.Context(), 0)
	g.Expect(notices).To(gomega.ConsistOf(gomega.HaveField("Instance", in.ID)))
}
