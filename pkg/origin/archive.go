package origin

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/endpoints"
	"github.com/medlarsill/medlarsill/pkg/objectstore"
	"github.com/medlarsill/medlarsill/pkg/sleep"
)

const (
	// prefix is the prefix of the stored objects. buildsKey is the key of the record of builds,
	// and streamsPrefix the prefix of the objects with streams.
	prefix        = "origins/"
	buildsKey     = prefix + "builds"
	streamsPrefix = prefix + "streams-"
	// archiveInterval is the time between two steps of an archive.
	archiveInterval = 50 * time.Millisecond
	// streamLife is the time for which a stream may be taken up after it began.
	streamLife = 2 * time.Minute
	// confirmTimeout is the time after which an instance records a new build itself, if it
	// hasn't heard that another one has.
	confirmTimeout = 3 * time.Second
	// recordInterval is the least time between two attempts of the writer to record builds. The
	// other instances wait for confirmTimeout.
	recordInterval = 500 * time.Millisecond
	// writeTimeout limits one write to the store.
	writeTimeout = 600 * time.Millisecond
	// announceInterval is the number of messages to peers of which one has the record of builds,
	// and announceTime the time after a change in which all have.
	announceInterval = 5
	announceTime     = 3 * time.Second
)

// ArchiveOptions configures an Archive. All fields but FirstStart are required.
type ArchiveOptions struct {
	// Source names this process, in letters, digits, hyphens and dots.
	Source string
	Store  objectstore.Store
	// StoreHistory returns the number of the store's newest known history. A rollback begins a new one.
	StoreHistory func() uint64
	// Endpoints returns the registered endpoints, and StreamServices the services that routes
	// for streams lead to.
	Endpoints      func() []*endpoints.Endpoint
	StreamServices func() []string
	// Confirm is called with the builds that are recorded.
	Confirm func(list []endpoints.Build)
	// IsWriter reports whether this instance is the one, among those that reach each other,
	// that writes the record of builds.
	IsWriter func() bool
	// Writers returns the ids of the n instances that store the streams of all that reach each
	// other, and Members the number of instances.
	Writers func(n int) []string
	Members func() int
	// Peers returns the ids of the other instances that aren't known to have ended. all is false if
	// there are others whose ids aren't known.
	Peers func() (ids []string, all bool)
	// Self is this instance's id. Send sends a batch of streams to a peer. It doesn't block, and
	// the batch may be lost.
	Self string
	Send func(peer string, batch []byte)
	// FirstStart is true at the first start of the whole system, before which no stream began.
	FirstStart bool
	Metrics    prometheus.Registerer
	Log        *slog.Logger
	// Now returns the time of the steady clock, and TrueTime the true time of day.
	Now      func() time.Time
	TrueTime func() time.Time
}

// Archive keeps in the object store what must outlive all instances: which builds of each
// service serve and, while several of one service do, where streams began. If only one build
// has served for as long as a stream lives, every stream began there. It is safe for
// concurrent use.
type Archive struct {
	ArchiveOptions
	metrics *archiveMetrics

	// endpointsChanged has an element after a change of the endpoints.
	endpointsChanged chan struct{}

	mu sync.Mutex
	// builds is the newest known record of builds, and changedAt when it last changed.
	builds    Builds
	changedAt time.Time
	// learned is true once the stored record was read or heard of after the start, and learnedAt
	// when that was last tried.
	learned   bool
	learnedAt time.Time
	// registered holds the builds of the registered endpoints, and withoutVersion those of the
	// ones that register no version.
	registered     Builds
	withoutVersion map[endpoints.Build]bool
	// unrecordedSince is when a registered build was found that isn't recorded; zero if none.
	unrecordedSince time.Time
	// recordedAt is when this instance last tried to record builds.
	recordedAt time.Time
	// goneSince holds when recorded builds were first found without a registered endpoint.
	goneSince map[endpoints.Build]time.Time
	streams   streamWriter
	rollback  rollback

	reader       archiveReader
	buildsReader buildsReader
	// failing holds the operations that have failed since they last succeeded.
	failing map[string]bool
}

// NewArchive returns an archive; Run keeps it.
func NewArchive(o ArchiveOptions) *Archive {
	return &Archive{
		ArchiveOptions: o, metrics: newArchiveMetrics(o.Metrics), endpointsChanged: make(chan struct{}, 1),
		goneSince: make(map[endpoints.Build]time.Time), rollback: rollback{confirmedBy: make(map[string]uint64)}, failing: make(map[string]bool),
	}
}

// EndpointsChanged tells the archive that the registered endpoints have changed.
func (a *Archive) EndpointsChanged() {
	select {
	case a.endpointsChanged <- struct{}{}:
	default:
	}
}

// Run keeps the archive until the context ends.
func (a *Archive) Run(ctx context.Context) error {
	for sleep.For(ctx, archiveInterval) {
		a.readEndpoints()
		a.learnBuilds(ctx)
		if !a.keepComplete(ctx) {
			a.keepBuilds(ctx)
		}
		a.keepStreams(ctx)
		a.reader.forget(a.Now())
	}
	return nil
}

// learnBuilds reads the stored record at the start, after which endpoints of other builds wait for
// being recorded.
func (a *Archive) learnBuilds(ctx context.Context) {
	a.mu.Lock()
	now := a.Now()
	wait := a.FirstStart || a.learned || now.Sub(a.learnedAt) < recordInterval
	known := a.builds.Version != 0
	if !wait {
		a.learned, a.learnedAt = known, now
	}
	a.mu.Unlock()
	if wait || known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := a.loadBuilds(ctx)
	a.logOutcome("failed to read the record of builds", err)
	if err != nil {
		return
	}
	a.setBuilds(stored)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learned = true
}

// readEndpoints notes the builds of the registered endpoints, if these have changed.
func (a *Archive) readEndpoints() {
	select {
	case <-a.endpointsChanged:
	default:
		return
	}
	byService := make(map[string][]endpoints.Build)
	unknown := make(map[endpoints.Build]bool)
	for _, e := range a.Endpoints() {
		build := e.Build()
		if e.Info().Version == "" {
			unknown[build] = true
			build = unversioned
		}
		byService[e.Service] = append(byService[e.Service], build)
	}
	var list Builds
	for service, builds := range byService {
		list = list.with(ServiceBuilds{Service: service, Builds: builds})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registered, a.withoutVersion = list, unknown
}

// wanted returns what the record of builds has to hold: the registered builds, those known from before
// a rollback of the store, and which services have streams.
func (a *Archive) wanted() []ServiceBuilds {
	a.mu.Lock()
	known := a.registered
	for _, s := range a.rollback.unrecorded.Services {
		known = known.with(s)
	}
	list := slices.Clone(known.Services)
	a.mu.Unlock()
	streaming := a.StreamServices()
	for i := range list {
		list[i].Streams = list[i].Streams || slices.Contains(streaming, list[i].Service)
	}
	return list
}

// keepBuilds records new builds, and removes those that left longer ago than streams live.
func (a *Archive) keepBuilds(ctx context.Context) {
	wanted := a.wanted()
	now := a.Now()
	a.mu.Lock()
	unrecorded := a.outdated() || slices.ContainsFunc(wanted, func(s ServiceBuilds) bool { return !a.builds.contains(s) })
	switch {
	case !unrecorded:
		a.unrecordedSince = time.Time{}
	case a.unrecordedSince.IsZero():
		a.unrecordedSince = now
	}
	late := unrecorded && now.Sub(a.unrecordedSince) >= confirmTimeout
	expired := a.noteGone(now)
	sinceLast := now.Sub(a.recordedAt)
	a.mu.Unlock()
	if !unrecorded && !expired || sinceLast < recordInterval {
		return
	}
	if late && sinceLast >= confirmTimeout || a.IsWriter() {
		a.mu.Lock()
		a.recordedAt = now
		a.mu.Unlock()
		a.logOutcome("failed to record builds", a.recordBuilds(ctx, wanted))
	}
}

// noteGone notes which recorded builds have no registered endpoint. It reports whether one of
// them has had none for streamLife. The caller must hold mu.
func (a *Archive) noteGone(now time.Time) (expired bool) {
	gone := make(map[endpoints.Build]time.Time)
	for _, s := range a.builds.Services {
		for _, build := range s.Builds {
			if a.registered.has(s.Service, build) {
				continue
			}
			since, known := a.goneSince[build]
			if !known {
				since = now
			}
			gone[build] = since
			expired = expired || now.Sub(since) >= streamLife
		}
	}
	a.goneSince = gone
	return expired
}

// recordBuilds adds builds to the stored record and removes those that left long ago.
func (a *Archive) recordBuilds(ctx context.Context, wanted []ServiceBuilds) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := a.loadBuilds(ctx)
	if err != nil {
		return err
	}
	next := a.nextBuilds(stored, wanted)
	if !next.sameServices(stored) || stored.Version == 0 || stored.rolledBack() {
		if next, err = a.saveBuilds(ctx, next); err != nil {
			return err
		}
		a.Log.Info("builds recorded", "builds", len(next.all()), "version", next.Version)
	}
	a.setBuilds(next)
	return nil
}

// loadBuilds reads the stored record. One that can't be decoded is replaced by the next write.
func (a *Archive) loadBuilds(ctx context.Context) (Builds, error) {
	o, err := a.Store.Get(ctx, buildsKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Builds{}, nil
	}
	if err != nil {
		return Builds{}, err
	}
	stored, err := decodeBuilds(o)
	if err != nil {
		a.Log.Error("failed to decode record of builds; replacing it", "error", err.Error())
		return Builds{Version: o.Version, SinceMS: a.TrueTime().UnixMilli(), History: objectstore.History(o.Version)}, nil
	}
	return stored, nil
}

// nextBuilds returns the record that is to be stored after one. If that isn't known to be
// complete, the next one is so only from now on.
func (a *Archive) nextBuilds(stored Builds, wanted []ServiceBuilds) Builds {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := stored
	incomplete := stored.rolledBack() || stored.Version == 0 && (!a.FirstStart || a.builds.Version != 0)
	if incomplete {
		next.SinceMS = a.TrueTime().UnixMilli()
		for _, s := range a.builds.Services {
			next = next.with(s)
		}
	}
	for _, s := range wanted {
		next = next.with(s)
	}
	now := a.Now()
	return next.without(func(service string, build endpoints.Build) bool {
		since, gone := a.goneSince[build]
		return gone && now.Sub(since) >= streamLife && !a.registered.has(service, build)
	})
}

// saveBuilds stores a record in place of the version that it has.
func (a *Archive) saveBuilds(ctx context.Context, b Builds) (Builds, error) {
	b.History = objectstore.History(b.Version)
	value, err := b.encode()
	if err != nil {
		return b, err
	}
	if b.Version != 0 {
		o, err := a.Store.Update(ctx, buildsKey, value, b.Version)
		b.Version = o.Version
		return b, err
	}
	o, err := a.Store.Create(ctx, buildsKey, value)
	b.Version = o.Version
	if err == nil && b.rolledBack() {
		return a.saveBuilds(ctx, b) // the history is known only now
	}
	return b, err
}

// setBuilds takes over a record that is newer than the known one.
func (a *Archive) setBuilds(b Builds) {
	a.mu.Lock()
	newer := b.Version > a.builds.Version
	if newer {
		a.rollback.replaced(a.builds, b)
		a.builds, a.changedAt = b, a.Now()
	}
	a.mu.Unlock()
	if newer {
		a.Confirm(b.all())
	}
}

// logOutcome logs the first of several failures of an operation, and its recovery.
func (a *Archive) logOutcome(failure string, err error) {
	switch {
	case err != nil && !a.failing[failure]:
		a.Log.Warn(failure, "error", err.Error())
	case err == nil && a.failing[failure]:
		a.Log.Info("archive of streams reaches the store again", "failed_before", failure)
	}
	a.failing[failure] = err != nil
}
