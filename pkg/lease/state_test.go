package lease

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
)

func TestState_PassesToNextHolder(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	store := memstore.New()
	first, next := &State{Store: store, Key: "duty/state"}, &State{Store: store, Key: "duty/state"}
	var n int
	found, err := first.Load(ctx, &n)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
	g.Expect(first.Save(ctx, 7)).To(Succeed())
	g.Expect(first.Save(ctx, 8)).To(Succeed())

	found, err = next.Load(ctx, &n)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	g.Expect(n).To(Equal(8))
	g.Expect(next.Save(ctx, 9)).To(Succeed())
	g.Expect(first.Save(ctx, 10)).To(MatchError(ErrStateConflict), "a former holder can't overwrite the state")
}

func TestState_SaveReplacesUnreadableState(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	store := memstore.New()
	_, err := store.Create(ctx, "duty/state", []byte("nonsense"))
	g.Expect(err).NotTo(HaveOccurred())
	s := &State{Store: store, Key: "duty/state"}
	var n int
	_, err = s.Load(ctx, &n)
	g.Expect(err).To(MatchError(ErrStateUnreadable))
	g.Expect(s.Save(ctx, 1)).To(Succeed())
	found, err := s.Load(ctx, &n)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
}
