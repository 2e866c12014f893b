package entrystate

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/peer"
)

// TestGetReport reads the report before and after a configuration is in force.
func TestGetReport(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	var env *config.Envelope
	server := peer.NewServer(nil)
	g.Expect(server.Register(ServiceName, New("e1", func() *config.Envelope { return env }, func() bool { return env != nil }))).To(Succeed())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	client := peer.NewClient(&peer.Directory{}, nil)

	report, err := Get(ctx, client, l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report).To(Equal(Report{ID: "e1"}))
	env = &config.Envelope{Revision: 3, Preset: "peak"}
	report, err = Get(ctx, client, l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report).To(Equal(Report{ID: "e1", Revision: 3, Preset: "peak", Ready: true}))

	client.Close()
	cancel()
	g.Expect(<-done).To(Succeed())
}
