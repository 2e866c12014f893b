package progress

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// trickle is a reader that returns one chunk after each pause.
type trickle struct {
	chunk  int
	pause  time.Duration
	chunks int
}

func (t *trickle) Read(b []byte) (int, error) {
	if t.chunks == 0 {
		return 0, io.EOF
	}
	t.chunks--
	time.Sleep(t.pause)
	return min(t.chunk, len(b)), nil
}

// Guards against transfers that are given up since they are long, and against those that
// are awaited for good though nearly nothing comes.
func TestGuard_CancelsOnlyWithoutProgress(t *testing.T) {
	const limit = 600 * time.Millisecond
	for name, c := range map[string]struct {
		source trickle
		want   error
	}{
		"long transfer":     {source: trickle{chunk: minBytes, pause: 500 * time.Millisecond, chunks: 100}},
		"pause":             {source: trickle{chunk: minBytes, pause: 700 * time.Millisecond, chunks: 1}, want: ErrStalled},
		"too little a time": {source: trickle{chunk: 1, pause: 100 * time.Millisecond, chunks: 10}, want: ErrStalled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, guard := Start(context.Background(), limit)
				_, _ = io.Copy(io.Discard, guard.Reader(&c.source))
				if c.want == nil {
					g.Expect(context.Cause(ctx)).NotTo(HaveOccurred())
				} else {
					g.Expect(context.Cause(ctx)).To(MatchError(c.want))
				}
				guard.Stop()
				g.Expect(ctx.Err()).To(HaveOccurred())
			})
		})
	}
}

func TestGuard_NextBeginsAnotherLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, guard := Start(context.Background(), time.Second)
		defer guard.Stop()
		time.Sleep(900 * time.Millisecond)
		guard.Next(3 * time.Second)
		time.Sleep(2900 * time.Millisecond)
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		time.Sleep(200 * time.Millisecond)
		g.Expect(context.Cause(ctx)).To(MatchError(ErrStalled))
	})
}

// constantRate is a reader that fills each buffer, at a rate in bytes a second.
type constantRate struct {
	perSecond int
	left      int
}

func (c *constantRate) Read(b []byte) (int, error) {
	n := min(len(b), c.left)
	if n == 0 {
		return 0, io.EOF
	}
	c.left -= n
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.perSecond))
	return n, nil
}

// Guards against transfers that are given up although they make progress, since the reader
// below returns nothing until a large buffer is full.
func TestGuard_SeesProgressWithinOneLargeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, guard := Start(context.Background(), 600*time.Millisecond)
		defer guard.Stop()
		n, err := io.ReadFull(guard.Reader(&constantRate{perSecond: 100_000, left: 1 << 20}), make([]byte, 1<<20))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(1 << 20))
		g.Expect(context.Cause(ctx)).NotTo(HaveOccurred())
	})
}

// transferAt copies a number of bytes at a rate under a pace. It returns how long that took
// and the cause of its end.
func transferAt(p *Pace, bytes, perSecond int) (time.Duration, error) {
	ctx, guard := Start(context.Background(), 600*time.Millisecond)
	defer guard.Stop()
	p.Start(guard)
	started := time.Now()
	r := guard.Reader(&constantRate{perSecond: perSecond, left: bytes})
	received := int64(0)
	for buf := make([]byte, minBytes); ctx.Err() == nil; {
		n, err := r.Read(buf)
		received += int64(n)
		if err != nil {
			break
		}
	}
	p.Ended(ctx, received, time.Since(started))
	return time.Since(started), context.Cause(ctx)
}

// Guards against a trickle that holds a call for minutes, as each of its parts counts as
// progress.
func TestPace_BoundsTransferBySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, err := transferAt(NewPace(64<<10), 1<<20, 8<<10)
		g.Expect(err).To(MatchError(ErrTooSlow))
		g.Expect(d).To(BeNumerically("<", 2*time.Second))
		_, err = transferAt(NewPace(64<<10), 1<<20, 70<<10)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a link that is slower than the pace, over which nothing large can be
// received at all, and against a pace that stays low for good.
func TestPace_AdaptsToSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := NewPace(64 << 10)
		for _, perSecond := range []int{20 << 10, 7 << 10} {
			attempts := 1
			for ; attempts < 10; attempts++ {
				if _, err := transferAt(p, 600_000, perSecond); err == nil {
					break
				}
			}
			g.Expect(attempts).To(BeNumerically("<=", 5), "at %d bytes per second", perSecond)
		}
		_, err := transferAt(p, 1000, 1<<20)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.current.Load()).To(BeZero(), "a small transfer doesn't show the rate of the link")
		_, err = transferAt(p, 600_000, 1<<20)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.current.Load()).To(BeEquivalentTo(64 << 10))
	})
}
