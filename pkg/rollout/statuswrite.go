package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/medlarsill/medlarsill/pkg/lease"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

const (
	// writeTimeout limits the write of a status and what follows from it, and is the time for which
	// no instance may go back to the old version when Done is written.
	writeTimeout = 700 * time.Millisecond
	// minHeld is the time for which the lease must be held for the write of another status than Done.
	// The write is conditional, so that it doesn't replace a later holder's. With writeTimeout, a lease of
	// 1.2 s was too near its end at each attempt for 20 s, as these came 0.4 s apart.
	minHeld = 50 * time.Millisecond
	// retryInterval is the time between two writes of a status that the store doesn't take.
	retryInterval = 400 * time.Millisecond
)

// StatusWriter writes the status of an order.
type StatusWriter interface {
	// WriteStatus replaces the status, if the order's object still has the order's version. It
	// returns the object's version, or ErrConflict, ErrUnavailable or ErrUnknown.
	WriteStatus(ctx context.Context, o Order, s Status) (version uint64, err error)
}

// follow writes the status that an order's object lacks, or reads the object first if it isn't known
// what it holds.
func (h *Holder) follow(ctx context.Context, m *Machine, o Order, s *Status) {
	name := o.Service
	if h.writing[name] || s == nil && !m.Uncertain() || h.Now().Sub(h.tried[name]) < retryInterval && (s == nil || s.State != Done) {
		return
	}
	if h.Registry.lost(o) {
		return // the store has lost the order; the operator writes it again
	}
	h.writing[name], h.tried[name] = true, h.Now()
	write := s != nil && !m.Uncertain()
	h.finished.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		if write {
			h.write(ctx, m, o, *s)
		} else {
			h.read(ctx, m, o)
		}
		h.mu.Lock()
		h.writing[name] = false
		h.mu.Unlock()
	})
}

// write writes a status.
func (h *Holder) write(ctx context.Context, m *Machine, o Order, s Status) {
	var version uint64
	needs := minHeld
	if s.State == Done {
		needs = writeTimeout
	}
	err := h.Lease.Do(ctx, needs, func(ctx context.Context, _ uint64) (err error) {
		version, err = h.Statuses.WriteStatus(ctx, o, s)
		return err
	})
	result := resultOf(err)
	if errors.Is(err, lease.ErrNotHeld) {
		result = ErrUnavailable
	}
	h.Registry.metrics.statuses.WithLabelValues(string(s.State), resultName(result)).Inc()
	if result == nil {
		h.Log.Info("rollout status written", "service", o.Service, "to", o.To, "state", string(s.State))
		h.Registry.recordStatus(o, s, version)
	}
	h.mu.Lock()
	if errors.Is(err, lease.ErrNotHeld) {
		delete(h.tried, o.Service) // the store wasn't called; the lease may be renewed at the next step
	}
	if result == nil {
		delete(h.failures, o.Service)
	} else {
		h.logFailure(o.Service, "failed to write status "+string(s.State)+" of rollout "+o.Service, err)
	}
	if m.Wrote(o.ID(), s, result) {
		h.unsaved = true
		h.Log.Info("rollout", "service", o.Service, "to", o.To, "stage", m.Record.Stage.String(), "reason", m.Record.Reason)
	}
	h.mu.Unlock()
	if result == ErrConflict || result == ErrUnknown {
		h.read(ctx, m, o)
	}
}

// read reads the object of an order.
func (h *Holder) read(ctx context.Context, m *Machine, o Order) {
	object, err := h.Store.Get(ctx, h.Key(o))
	if errors.Is(err, objectstore.ErrNotFound) {
		return // the watch tells of it
	}
	if err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.logFailure("read", "failed to read rollout "+o.Service, err)
		return
	}
	order, err := h.Registry.Decode(object.Key, object.Version, object.Value)
	h.Registry.Apply(objectstore.Changes{Objects: []objectstore.Object{object}, Version: object.Version})
	if err != nil {
		return // logged by the registry
	}
	if order.sameTerms(o) {
		order.Created = o.Created
	}
	h.mu.Lock()
	delete(h.failures, "read")
	m.Read(order)
	h.mu.Unlock()
}

// resultOf returns the error of StatusWriter that an error stands for.
func resultOf(err error) error {
	for _, known := range []error{ErrConflict, ErrUnavailable} {
		if errors.Is(err, known) {
			return known
		}
	}
	if err != nil {
		return ErrUnknown
	}
	return nil
}

// resultName returns the name of a result in metrics.
func resultName(err error) string {
	switch err {
	case nil:
		return "ok"
	case ErrConflict:
		return "conflict"
	case ErrUnavailable:
		return "unavailable"
	}
	return "unknown"
}
