package scheddelay

import (
	"context"
	"os"
	"time"

	"github.com/medlarsill/medlarsill/pkg/sleep"
)

// Pipe is a pipe of this process to itself. A byte that arrives wakes its reader as an answer from the
// network does: by the runtime's network poller.
type Pipe struct {
	reader, writer *os.File
	arrived        chan struct{}
}

// OpenPipe opens a pipe. Close must be called at the end.
func OpenPipe() (*Pipe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Pipe{reader: reader, writer: writer, arrived: make(chan struct{}, 1)}
	go p.read()
	return p, nil
}

// Close closes the pipe and ends its reader.
func (p *Pipe) Close() {
	p.writer.Close()
	p.reader.Close()
}

// read passes on that bytes arrive, until the pipe is closed.
func (p *Pipe) read() {
	buf := make([]byte, 1)
	for {
		if _, err := p.reader.Read(buf); err != nil {
			close(p.arrived)
			return
		}
		p.arrived <- struct{}{}
	}
}

// Probe pauses, sends a byte and waits until it has arrived.
func (p *Pipe) Probe(ctx context.Context, d time.Duration) bool {
	if !sleep.For(ctx, d) {
		return false
	}
	if _, err := p.writer.Write([]byte{0}); err != nil {
		return ctx.Err() == nil && sleep.For(ctx, d) // closed: measures the pauses alone
	}
	select {
	case <-p.arrived:
		return true
	case <-ctx.Done():
		return false
	}
}
