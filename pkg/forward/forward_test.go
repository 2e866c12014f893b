package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/medlarsill/medlarsill/pkg/apierror"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/fleet"
	"github.com/medlarsill/medlarsill/pkg/ledger"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/peer"
	"github.com/medlarsill/medlarsill/pkg/place"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// placeOnFirst places each attempt on the first allowed endpoint, by id.
type placeOnFirst struct{ place.Placer }

func (placeOnFirst) Place(s *fleet.Snapshot, r place.Request) (place.Decision, error) {
	return place.NewLeastInFlight().Place(s, r)
}

func (placeOnFirst) Done(place.Decision, place.Request) {}

type fixedConfig struct {
	env   *config.Envelope
	stale bool
}

func (c *fixedConfig) Current() *config.Envelope { return c.env }

func (c *fixedConfig) Fresh() bool { return !c.stale }

type fakeBudget struct{ retries, successes int }

func (b *fakeBudget) Allow() bool { b.retries--; return b.retries >= 0 }
func (b *fakeBudget) Success()    { b.successes++ }

// fixture is a Forwarder for a service with endpoints e0, e1, ...
type fixture struct {
	*Forwarder
	store *memstore.Store
	table *fleet.Table
	doc   *config.Document
}

func newFixture(t *testing.T, addrs ...string) *fixture {
	doc := config.Document{
		DataCentres: []config.DataCentre{{Name: "dc"}},
		Services: []config.Service{{
			Name: "beds", Kind: config.KindPlain, DeadlineMS: 5000,
			NonIdempotent: []config.Call{{Method: "POST", PathPrefix: "/holds"}},
		}},
		Workspaces: []config.Workspace{{Name: "w", DataCentres: []string{"dc"}, Services: []string{"beds"}}},
		Presets:    []config.Preset{{Name: "p"}},
	}
	env := &config.Envelope{Preset: "p", Document: doc}
	table := fleet.NewTable(time.Now, nil)
	var list []cloud.Instance
	for i, a := range addrs {
		list = append(list, cloud.Instance{ID: "e" + string(rune('0'+i)), Addr: a, Service: "beds", DataCentre: "dc", State: cloud.StateReady})
	}
	table.ApplyList(list)
	reg := prometheus.NewRegistry()
	store := memstore.New()
	l := ledger.New(ledger.Options{Store: store, Peers: &peer.Directory{}, Self: "a", Metrics: ledger.NewMetrics(reg), LazyDelay: time.Millisecond})
	pooled, single := NewTransports()
	t.Cleanup(func() {
		done, cancel := context.WithCancel(context.Background())
		cancel()
		l.Close(done)
		pooled.CloseIdleConnections()
	})
	return &fixture{
		Forwarder: &Forwarder{
			Config: &fixedConfig{env: env}, Fleet: table, Placer: placeOnFirst{}, Ledger: l,
			Pooled: pooled, Single: single, Metrics: NewMetrics(reg), Now: time.Now,
		},
		store: store, table: table, doc: &env.Document,
	}
}

func (f *fixture) call(method, path, key, body string) (*Answer, error) {
	return f.Do(context.Background(), &Call{
		Workspace: "w", Service: &f.doc.Services[0], Method: method, Path: path, Key: key,
		Body: []byte(body), Deadline: time.Now().Add(5 * time.Second), ContentType: "application/json", RequestID: testRunID,
	})
}

func (f *fixture) hold(key, body string) (*Answer, error) { return f.call("POST", "/holds", key, body) }

// testRunID identifies the requests of this test process. Ports are reused on a busy
// machine, and requests for the previous owner of a port must not be counted.
var testRunID = uuid.NewString()

func isFromThisRun(r *http.Request) bool { return r.Header.Get(apierror.HeaderRequestID) == testRunID }

// fakeEndpoint is an HTTP server that records the requests of this test process.
type fakeEndpoint struct {
	*httptest.Server
	mu       sync.Mutex
	requests []string
}

func newFakeEndpoint(t *testing.T, h http.HandlerFunc) *fakeEndpoint {
	e := &fakeEndpoint{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isFromThisRun(r) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.requests = append(e.requests, r.Method+" "+r.URL.Path+" "+string(body))
		e.mu.Unlock()
		h(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

func (e *fakeEndpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

func refuseRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(NotRunHeader, "leaving")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// closedAddr is an address on which nothing listens. Its port is outside the range
// from which the system assigns ports to the servers of other tests.
const closedAddr = "127.0.0.1:1"

func TestForwarder_RetriesRefusedCallOnAnotherEndpoint(t *testing.T) {
	g := NewWithT(t)
	refusing, accepting := newFakeEndpoint(t, refuseRequest), newFakeEndpoint(t, respondWith("held"))
	f := newFixture(t, closedAddr, refusing.addr(), accepting.addr())
	a, err := f.hold("k", "bed 1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(a.Body)).To(Equal("held"))
	replayed, err := f.hold("k", "bed 1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed.Replayed).To(BeTrue())
	g.Expect(replayed.Body).To(Equal(a.Body))
	g.Expect(accepting.count()).To(Equal(1))
}

func TestForwarder_ReleasesKeyOfCallThatWasNotRun(t *testing.T) {
	g := NewWithT(t)
	refusing := newFakeEndpoint(t, refuseRequest)
	f := newFixture(t, closedAddr, refusing.addr())
	_, err := f.hold("k", "bed 1")
	g.Expect(err).To(MatchError(ErrNotRun))
	accepting := newFakeEndpoint(t, respondWith("held"))
	f.table.ApplyList([]cloud.Instance{{ID: "e9", Addr: accepting.addr(), Service: "beds", DataCentre: "dc", State: cloud.StateReady}})
	a, err := f.hold("k", "bed 2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Replayed).To(BeFalse())
}

func TestForwarder_DoesNotResendNonIdempotentCallThatMayHaveRun(t *testing.T) {
	for _, key := range []string{"", "k"} {
		g := NewWithT(t)
		first, second := newFakeEndpoint(t, abortConnection), newFakeEndpoint(t, respondWith("held"))
		f := newFixture(t, first.addr(), second.addr())
		_, err := f.hold(key, "bed 1")
		g.Expect(err).To(MatchError(ErrUnknown))
		if key != "" {
			_, err = f.hold(key, "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown))
		}
		g.Expect(first.count() + second.count()).To(Equal(1))
	}
}

func TestForwarder_RetriesIdempotentCallsWithinBudget(t *testing.T) {
	g := NewWithT(t)
	first, second := newFakeEndpoint(t, abortConnection), newFakeEndpoint(t, respondWith("free"))
	f := newFixture(t, first.addr(), second.addr())
	b := &fakeBudget{retries: 1}
	f.Budget = b
	_, err := f.call("GET", "/availability", "", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.successes).To(Equal(1))
	_, err = f.call("GET", "/availability", "", "")
	g.Expect(err).To(MatchError(ErrUnknown))
	g.Expect(second.count()).To(Equal(1))
}

func TestForwarder_RejectsKeyReusedForAnotherCall(t *testing.T) {
	g := NewWithT(t)
	e := newFakeEndpoint(t, respondWith("held"))
	f := newFixture(t, e.addr())
	_, err := f.hold("k", "bed 1")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.hold("k", "bed 2")
	g.Expect(err).To(MatchError(ErrKeyReused))
	g.Expect(e.count()).To(Equal(1))
}

func TestForwarder_RunsNoKeyedCallDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	e := newFakeEndpoint(t, respondWith("held"))
	f := newFixture(t, e.addr())
	f.store.SetHook(func(memstore.Op, string) memstore.Fault { return memstore.FaultUnavailable })
	_, err := f.hold("k", "bed 1")
	g.Expect(err).To(MatchError(ErrNotRecorded))
	g.Expect(e.count()).To(Equal(0))
	_, err = f.hold("", "bed 1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.count()).To(Equal(1))
}

func TestForwarder_BoundsAnswerSize(t *testing.T) {
	g := NewWithT(t)
	large := newFakeEndpoint(t, respondWith(strings.Repeat("x", MaxAnswerBytes)))
	f := newFixture(t, large.addr())
	a, err := f.hold("k", "")
	g.Expect(err).NotTo(HaveOccurred())
	replayed, err := f.hold("k", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed.Body).To(Equal(a.Body))
	tooLarge := newFakeEndpoint(t, respondWith(strings.Repeat("x", MaxAnswerBytes+1)))
	f = newFixture(t, tooLarge.addr())
	for range 2 {
		_, err = f.hold("k", "")
		g.Expect(err).To(MatchError(ErrTooLarge))
	}
	g.Expect(tooLarge.count()).To(Equal(1))
}

func TestForwarder_DoesNotFollowRedirects(t *testing.T) {
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
		g := NewWithT(t)
		other := newFakeEndpoint(t, respondWith("held"))
		e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, other.URL+"/holds", status)
		})
		f := newFixture(t, e.addr())
		a, err := f.hold("k", "bed 1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Status).To(Equal(status))
		g.Expect(other.count()).To(Equal(0))
	}
}

// leavingAfterPlacement marks the endpoint e0 as leaving after each placement.
type leavingAfterPlacement struct {
	placeOnFirst
	f *fixture
}

func (p leavingAfterPlacement) Place(s *fleet.Snapshot, r place.Request) (place.Decision, error) {
	d, err := p.placeOnFirst.Place(s, r)
	p.f.table.MarkLeaving("e0", time.Time{})
	return d, err
}

func TestForwarder_RechecksEndpointBeforeDispatch(t *testing.T) {
	g := NewWithT(t)
	first, second := newFakeEndpoint(t, respondWith("held")), newFakeEndpoint(t, respondWith("held"))
	f := newFixture(t, first.addr(), second.addr())
	f.Placer = leavingAfterPlacement{f: f}
	_, err := f.hold("k", "bed 1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.count()).To(Equal(0))
	g.Expect(second.count()).To(Equal(1))
	f.doc.Presets[0].ClosedDataCentres = []string{"dc"}
	_, err = f.hold("k2", "bed 1")
	g.Expect(err).To(MatchError(ErrNotAllowed))
}

// TestForwarder_SendsNothingWithStaleConfiguration checks that neither an idempotent
// nor a non-idempotent call is sent while a newer configuration may be in force.
func TestForwarder_SendsNothingWithStaleConfiguration(t *testing.T) {
	g := NewWithT(t)
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f := newFixture(t, e.addr())
	f.Config.(*fixedConfig).stale = true
	_, err := f.hold("k", "{}")
	g.Expect(err).To(MatchError(ErrNotRun))
	_, err = f.call("GET", "/availability", "", "")
	g.Expect(err).To(MatchError(ErrNotRun))
	g.Expect(e.count()).To(BeZero())
	f.Config.(*fixedConfig).stale = false
	_, err = f.hold("k", "{}")
	g.Expect(err).NotTo(HaveOccurred())
}

func TestForwarder_FinishesNonIdempotentCallAfterCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		cancel()
		respondWith("held")(w, r)
	})
	f := newFixture(t, e.addr())
	call := &Call{Workspace: "w", Service: &f.doc.Services[0], Method: "POST", Path: "/holds", Key: "k", RequestID: testRunID, Deadline: time.Now().Add(5 * time.Second)}
	_, err := f.Do(ctx, call)
	g.Expect(err).NotTo(HaveOccurred())
	a, err := f.Do(context.Background(), call)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Replayed).To(BeTrue())
	g.Expect(e.count()).To(Equal(1))
}

// unresponsiveTransport never gets a response from one address.
type unresponsiveTransport struct{ addr string }

func (s unresponsiveTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == s.addr {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("free"))}, nil
}

func TestForwarder_RetriesOnlyIdempotentCallOnUnresponsiveEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t, "first", "second")
		f.Pooled, f.Single = unresponsiveTransport{"first"}, unresponsiveTransport{"first"}
		a, err := f.call("GET", "/availability", "", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(a.Body)).To(Equal("free"))
		_, err = f.hold("k", "bed 1")
		g.Expect(err).To(MatchError(ErrUnknown))
		g.Expect(errors.Is(err, ErrNotRun)).To(BeFalse())
	})
}
