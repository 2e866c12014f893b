package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// endWorld is a set of addresses that accept or refuse connections.
type endWorld struct {
	// refusing holds the addresses that refuse, and until when.
	refusing map[string]time.Time
	// hanging holds the addresses that don't answer.
	hanging map[string]bool
}

func (w *endWorld) checker(others ...string) *EndChecker {
	p := NewPool(time.Now)
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if w.hanging[addr] {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if time.Now().Before(w.refusing[addr]) {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		c, _ := net.Pipe()
		return c, nil
	}
	return &EndChecker{Pool: p, Others: func(string) []string { return others }}
}

func TestEndChecker_ComparesWithOtherAddresses(t *testing.T) {
	const never = 0
	for name, c := range map[string]struct {
		// own and others are the times for which the address and the others refuse.
		own    time.Duration
		others []time.Duration
		want   bool
	}{
		"ended":                      {own: time.Hour, others: []time.Duration{never, never}, want: true},
		"goes on":                    {own: never, others: []time.Duration{never}, want: false},
		"links fail for a time":      {own: time.Second, others: []time.Duration{time.Second, time.Second}, want: false},
		"links fail for long":        {own: time.Hour, others: []time.Duration{time.Hour, time.Hour}, want: false},
		"most others have ended too": {own: time.Hour, others: []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, never}, want: true},
		"others are back first":      {own: time.Hour, others: []time.Duration{time.Second, time.Hour}, want: true},
		"no others":                  {own: time.Hour, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &endWorld{refusing: map[string]time.Time{"own": time.Now().Add(c.own)}}
				var others []string
				for n, d := range c.others {
					addr := string(rune('a' + n))
					others = append(others, addr)
					w.refusing[addr] = time.Now().Add(d)
				}
				NewWithT(t).Expect(w.checker(others...).Ended("own")).To(Equal(c.want))
			})
		})
	}
}

// Guards against a check that goes on for long after the endpoint refused since the others don't
// answer.
func TestEndChecker_GivesUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &endWorld{refusing: map[string]time.Time{"own": time.Now().Add(time.Hour)}, hanging: map[string]bool{"a": true, "b": true, "c": true, "d": true}}
		start := time.Now()
		g.Expect(w.checker("a", "b", "c", "d").Ended("own")).To(BeFalse())
		g.Expect(time.Since(start)).To(BeNumerically("<=", compareTime+DefaultDialTimeout+compareInterval))
	})
}
