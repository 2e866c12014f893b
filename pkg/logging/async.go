package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// asyncQueueLength is the maximum number of queued lines.
const asyncQueueLength = 2048

// Async is a writer that never blocks: lines are added to a bounded queue and
// dropped while it is full. The number of dropped lines is written to the log.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer that queues lines. Run writes the queued lines to out.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, asyncQueueLength)}
}

// Write implements io.Writer. It queues a copy of the line and always succeeds.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines to the output until ctx is done, then flushes the queue.
func (a *Async) Run(ctx context.Context) error {
	for {
		select {
		case line := <-a.lines:
			if err := a.write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return a.Flush()
		}
	}
}

// Flush writes all queued lines. It must not be called while Run is running.
func (a *Async) Flush() error {
	for {
		select {
		case line := <-a.lines:
			if err := a.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (a *Async) write(line []byte) error {
	if n := a.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(a.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n); err != nil {
			return err
		}
	}
	_, err := a.out.Write(line)
	return err
}
