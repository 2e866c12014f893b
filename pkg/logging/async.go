package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// asyncLines is the number of lines that may wait to be written.
const asyncLines = 2048

// Async is a writer that never blocks: lines wait in a bounded queue and are
// dropped while it is full. Drops are counted and told in the log itself.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer whose lines Run writes to out.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: make(chan []byte, asyncLines)}
}

// Write implements io.Writer. It keeps a copy of the line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then those that still wait.
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

// Flush writes the lines that wait. It must not run beside Run.
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
