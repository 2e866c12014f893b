package logging

import (
	"bytes"
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"
)

func TestAsync_WritesInOrderAndFlushesOnStop(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	a := NewAsync(&out)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		n, err := a.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(line)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(a.Run(ctx)).To(Succeed())
	g.Expect(out.String()).To(Equal("one\ntwo\nthree\n"))
}

func TestAsync_DropsLinesWhenFullAndLogsCount(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	a := NewAsync(&out)
	for range asyncQueueLength + 5 {
		_, _ = a.Write([]byte("x\n"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(a.Run(ctx)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring(`"msg":"log lines dropped","count":5`))
	g.Expect(bytes.Count(out.Bytes(), []byte("x\n"))).To(Equal(asyncQueueLength))
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestAsync_RunReturnsWriteError(t *testing.T) {
	g := NewWithT(t)
	a := NewAsync(failingWriter{})
	_, _ = a.Write([]byte("x\n"))
	g.Expect(a.Run(context.Background())).To(MatchError("closed"))
}
