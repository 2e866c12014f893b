package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Guards against requests that a stopping process has read and that end without an answer or a
// refusal at the end of its grace period, as their endpoints are silent or have no slot for them.
func TestProcess_AnswersRequestsThatOutlastGracePeriod(t *testing.T) {
	s := newTestPlatform(t)
	g := s.g
	s.store.Put("config", "main", platformtest.Config(1))
	silent := &silentLink{}
	defer silent.close()
	p := s.startDialing(t, "gw-1", silent.dial)
	g.Eventually(p.readiness, waitTimeout).Should(Equal(http.StatusOK))
	var callers sync.WaitGroup
	statuses := make([]int, 40)
	for n := range statuses {
		callers.Go(func() {
			header := platformtest.Headers(fmt.Sprintf("r-%d", n), 30*time.Second)
			statuses[n], _ = p.getWith("/v1/", header)
		})
	}
	g.Eventually(p.gateway.Active, waitTimeout).Should(BeNumerically(">", 8))
	p.stop(g)
	g.Expect(p.gateway.Active()).To(BeZero(), "the end of the process would close their connections")
	callers.Wait()
	g.Expect(statuses).NotTo(ContainElement(0), "each is answered")
}

// silentLink connects to nothing: what is sent is neither read nor answered.
type silentLink struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (l *silentLink) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, server)
	return client, nil
}

func (l *silentLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}
