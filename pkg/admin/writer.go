package admin

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
)

// Errors from reading and writing the configuration.
var (
	// ErrStore means that the object store refused the call. A write had no effect.
	ErrStore = eris.New("admin: the object API is unavailable")
	// ErrLostRace means that another change came first. The write had no effect and never will.
	ErrLostRace = eris.New("admin: another change came first")
	// ErrOutcomeUnknown means that the write may have taken effect.
	ErrOutcomeUnknown = eris.New("admin: the outcome of the write is unknown")
	// ErrTooLarge means that the configuration exceeds the object store's size limit.
	ErrTooLarge = eris.New("admin: the configuration is too large")
)

// Retry delays after a write whose outcome is unknown.
const (
	minWriteDelay = 20 * time.Millisecond
	maxWriteDelay = 500 * time.Millisecond
)

// Stored is the configuration as read from the object store.
type Stored struct {
	// Envelope is nil before the first revision.
	Envelope *config.Envelope
	// Version is the object's version; 0 before the first revision.
	Version uint64
}

// Revision returns the stored revision; 0 before the first.
func (s Stored) Revision() uint64 {
	if s.Envelope == nil {
		return 0
	}
	return s.Envelope.Revision
}

// ConfigStore reads and replaces the configuration.
type ConfigStore interface {
	// Read returns the newest configuration, or ErrStore.
	Read(ctx context.Context) (Stored, error)
	// Write replaces old with next. It returns ErrLostRace, ErrStore, ErrTooLarge or
	// ErrOutcomeUnknown on failure.
	Write(ctx context.Context, old Stored, next *config.Envelope) error
}

// configStore is the ConfigStore over the object store.
type configStore struct {
	store objectstore.Store
	sleep Sleep
}

// NewConfigStore returns a ConfigStore in an object store. A nil sleep waits in real time.
func NewConfigStore(store objectstore.Store, sleep Sleep) ConfigStore {
	if sleep == nil {
		sleep = realSleep
	}
	return &configStore{store: store, sleep: sleep}
}

// Read implements ConfigStore.
func (c *configStore) Read(ctx context.Context) (Stored, error) {
	o, err := c.store.Get(ctx, config.Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, eris.Wrap(ErrStore, err.Error())
	}
	env := &config.Envelope{}
	if err := json.Unmarshal(o.Value, env); err != nil {
		return Stored{}, eris.Wrap(ErrStore, err.Error())
	}
	return Stored{Envelope: env, Version: o.Version}, nil
}

// Write implements ConfigStore. The write is conditional and carries a write id,
// so it is safe to retry when its outcome is unknown: either the retry takes
// effect, or it conflicts and a read shows which write came first. An earlier
// attempt that is still in flight then fails with a conflict.
func (c *configStore) Write(ctx context.Context, old Stored, next *config.Envelope) error {
	data, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(ErrStore, err.Error())
	}
	uncertain := false
	for delay := minWriteDelay; ; delay = min(2*delay, maxWriteDelay) {
		err := c.replace(ctx, data, old.Version)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, objectstore.ErrTooLarge):
			return eris.Wrap(ErrTooLarge, err.Error())
		case errors.Is(err, objectstore.ErrConflict):
			return c.resolve(ctx, next)
		case errors.Is(err, objectstore.ErrUnavailable) && !uncertain:
			return eris.Wrap(ErrStore, err.Error())
		}
		uncertain = true
		c.sleep(ctx, delay/2+rand.N(delay))
		if ctx.Err() != nil {
			return eris.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

func (c *configStore) replace(ctx context.Context, data []byte, version uint64) error {
	if version == 0 {
		_, err := c.store.Create(ctx, config.Key, data)
		return err
	}
	_, err := c.store.Update(ctx, config.Key, data, version)
	return err
}

// resolve determines after a conflict whether an earlier attempt at this write,
// perhaps by another process, created the revision.
func (c *configStore) resolve(ctx context.Context, next *config.Envelope) error {
	for delay := minWriteDelay; ; delay = min(2*delay, maxWriteDelay) {
		current, err := c.Read(ctx)
		if err == nil {
			return outcomeError(current.Envelope.Outcome(next.Revision, next.WriteID))
		}
		c.sleep(ctx, delay/2+rand.N(delay))
		if ctx.Err() != nil {
			return eris.Wrap(ErrOutcomeUnknown, err.Error())
		}
	}
}

func outcomeError(o config.WriteOutcome) error {
	switch o {
	case config.WriteApplied:
		return nil
	case config.WriteSuperseded:
		return ErrLostRace
	}
	return ErrOutcomeUnknown
}
