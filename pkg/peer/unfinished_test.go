package peer

import (
	"net"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// announced begins a message of 8,000,000 bytes.
const announced = "\xfc\x00\x7a\x12\x00"

// Guards against memory that grows with what was received of messages whose connections were closed: a
// process that received more quickly than its collector ran took 154 MB, 24 MB for such messages.
func TestServer_ReusesMemoryOfUnfinishedMessages(t *testing.T) {
	g := NewWithT(t)
	s, addr, _ := serveEcho(t)
	beginning := append([]byte(announced), make([]byte, 1<<20)...)
	used := func() int { return int(s.limits.messages.Used()) }
	const conns = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range conns {
		c, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Write(beginning)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(used, 10*time.Second, time.Millisecond).Should(BeNumerically(">=", 1<<20))
		g.Expect(c.Close()).To(Succeed())
		g.Eventually(used, 10*time.Second, time.Millisecond).Should(BeZero())
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc-before.TotalAlloc)>>20).To(BeNumerically("<", conns/2), "allocated MB, of %d MB received", conns)
}
