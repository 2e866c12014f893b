package endpoints

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/medlarsill/medlarsill/pkg/elapsed"
)

const (
	// maxRegistrationAge is the age up to which a registration tells which process answers on a
	// new connection, if nothing suggests that the process has ended.
	maxRegistrationAge = time.Second
	// readTimeout limits one read of a registration, and failureInterval is the time after a
	// failed one in which none is tried.
	readTimeout     = 300 * time.Millisecond
	failureInterval = 500 * time.Millisecond
	// maxReads is the largest number of reads at the same time.
	maxReads = 8
)

// UncertainBuild is the build of streams that began at a process whose build isn't known. No
// endpoint has it.
const UncertainBuild Build = math.MaxUint64

// IdentityOptions configures Identities. All fields are required.
type IdentityOptions struct {
	Table *Table
	// Read returns the registration under an id as it is in the object store now.
	Read    func(ctx context.Context, id string) (Info, error)
	Metrics prometheus.Registerer
	Log     *slog.Logger
	Now     func() time.Time
}

// Identities tells whether the process that answers at an endpoint's address is the one that is
// registered. An endpoint may start again under its id with another build, and this instance may
// know of that late. It is safe for concurrent use.
type Identities struct {
	IdentityOptions
	reads *prometheus.CounterVec

	mu sync.Mutex
	// reading holds the reads in progress, by endpoint.
	reading  map[*Endpoint]*registrationRead
	failedAt time.Time
}

// registrationRead is the read of one endpoint's registration.
type registrationRead struct {
	// done is closed at the end of the read, before which same must not be read.
	done chan struct{}
	same bool
}

// Outcomes of reads, as the metric shows them.
const (
	readSame    = "same process"
	readChanged = "another process"
	readFailed  = "failed"
	// readTooEarly is a read so soon after an outage of the store that the process that answers may
	// not have registered yet.
	readTooEarly = "too early after an outage"
)

// NewIdentities returns Identities of the endpoints in a table.
func NewIdentities(o IdentityOptions) *Identities {
	reads := promauto.With(o.Metrics).NewCounterVec(prometheus.CounterOpts{
		Name: "medlarsill_endpoint_identity_reads_total", Help: "Reads of endpoints' registrations to find out which process answers, by outcome.",
	}, []string{"outcome"})
	return &Identities{IdentityOptions: o, reads: reads, reading: make(map[*Endpoint]*registrationRead)}
}

// Known reports whether the registered process of an endpoint is the one that answers on a
// connection that was opened at a time and is still open.
func (i *Identities) Known(e *Endpoint, openedAt time.Time) bool {
	registered := i.Table.registeredAt(e)
	if openedAt.Before(registered) {
		return true // the connection would have ended with its process
	}
	return e.endedBefore(registered) && elapsed.Between(registered, i.Now()) <= maxRegistrationAge
}

// Ensure returns Known, for which it reads the registration if necessary. Soon after an outage of the
// store a read wouldn't tell.
func (i *Identities) Ensure(ctx context.Context, e *Endpoint, openedAt time.Time) bool {
	return i.Known(e, openedAt) || i.Table.settledAt(i.Now()) && i.read(ctx, e)
}

// Registered returns the endpoint whose process is known to answer on a connection that was opened at a
// time and is still open: the given one, or the one that has been registered under its id and address
// since. It returns false if neither is known to.
func (i *Identities) Registered(e *Endpoint, openedAt time.Time) (*Endpoint, bool) {
	if i.Known(e, openedAt) {
		return e, true
	}
	next, ok := i.Table.ByID(e.ID)
	if !ok || next == e || next.Addr != e.Addr || !e.endedBefore(openedAt) {
		return nil, false // it may be the process before, if that has ended since
	}
	return next, openedAt.Before(i.Table.registeredAt(next))
}

// read reads an endpoint's registration, and reports whether its process is the registered one.
// Callers for the same endpoint share a read.
func (i *Identities) read(ctx context.Context, e *Endpoint) bool {
	r := i.startRead(e)
	if r == nil {
		return false
	}
	select {
	case <-r.done:
		return r.same
	case <-ctx.Done():
		return false
	}
}

// startRead returns the read of an endpoint's registration that is in progress, or begins one. It
// returns nil while none may begin.
func (i *Identities) startRead(e *Endpoint) *registrationRead {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r, ok := i.reading[e]; ok {
		return r
	}
	if len(i.reading) >= maxReads || i.Now().Sub(i.failedAt) < failureInterval {
		return nil
	}
	r := &registrationRead{done: make(chan struct{})}
	i.reading[e] = r
	go i.finishRead(e, r)
	return r
}

// finishRead reads an endpoint's registration and ends the read.
func (i *Identities) finishRead(e *Endpoint, r *registrationRead) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	began := i.Now()
	info, err := i.Read(ctx, e.ID)
	outcome := readChanged
	switch {
	case err != nil:
		outcome = readFailed
		i.Log.Info("failed to read which process an endpoint is", "endpoint", e.ID, "error", err.Error())
	case info.sameProcess(e.Info()) && i.Table.settledAt(began):
		outcome = readSame
		e.recordRegistered(began)
	case info.sameProcess(e.Info()):
		outcome = readTooEarly
	default:
		i.Log.Info("endpoint is another process", "endpoint", e.ID, "version", info.Version, "version_before", e.Info().Version)
	}
	i.reads.WithLabelValues(outcome).Inc()
	i.mu.Lock()
	defer i.mu.Unlock()
	if err != nil {
		i.failedAt = i.Now()
	}
	delete(i.reading, e)
	r.same = outcome == readSame
	close(r.done)
}

// identity is what is known of an endpoint's process.
type identity struct {
	mu sync.Mutex
	// registeredAt is a time at which the store is known to have held the registration of this
	// process, and endedAt the last one at which something suggested that the process has ended.
	registeredAt, endedAt time.Time
}

// RecordEnded records that something suggests that the endpoint's process has ended: a refused
// connection, or the end of one that it has used.
func (e *Endpoint) RecordEnded(now time.Time) {
	e.identity.mu.Lock()
	defer e.identity.mu.Unlock()
	e.identity.endedAt = now
}

// endedBefore reports whether all that suggests that the process has ended is older than a time.
func (e *Endpoint) endedBefore(at time.Time) bool {
	e.identity.mu.Lock()
	defer e.identity.mu.Unlock()
	return e.identity.endedAt.Before(at)
}

// SeemsEnded reports whether something suggests that the endpoint's process has ended, and the store
// hasn't confirmed its registration since.
func (e *Endpoint) SeemsEnded() bool {
	e.identity.mu.Lock()
	defer e.identity.mu.Unlock()
	return !e.identity.endedAt.IsZero() && !e.identity.registeredAt.After(e.identity.endedAt)
}

// recordRegistered records that the store held the registration of the process at a time.
func (e *Endpoint) recordRegistered(at time.Time) {
	e.identity.mu.Lock()
	defer e.identity.mu.Unlock()
	if at.After(e.identity.registeredAt) {
		e.identity.registeredAt = at
	}
}

// registeredAt returns a time at which the store held the registration of an endpoint's process;
// zero if another process is registered now, or none.
func (t *Table) registeredAt(e *Endpoint) time.Time {
	if registered, ok := t.ByID(e.ID); !ok || registered != e {
		return time.Time{}
	}
	e.identity.mu.Lock()
	defer e.identity.mu.Unlock()
	return e.identity.registeredAt
}

// RecordEnded records, for all endpoints at an address, that something suggests that its process
// has ended.
func (t *Table) RecordEnded(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.all {
		if e.Addr == addr {
			e.RecordEnded(now)
		}
	}
}
