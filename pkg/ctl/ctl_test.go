package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/medlarsill/medlarsill/pkg/admin"
	"github.com/medlarsill/medlarsill/pkg/admin/api"
	"github.com/medlarsill/medlarsill/pkg/audit"
	"github.com/medlarsill/medlarsill/pkg/auth"
	"github.com/medlarsill/medlarsill/pkg/cloud"
	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/objectstore/memstore"
	"github.com/medlarsill/medlarsill/pkg/settings"
)

// fakeFleet has the given entries; missing ones never take a revision.
type fakeFleet struct{ entries, missing []api.Entry }

func (f *fakeFleet) Entries(context.Context) ([]api.Entry, error) { return f.entries, nil }

func (f *fakeFleet) Distribute(context.Context, *config.Envelope) (admin.InForce, error) {
	return admin.InForce{Everywhere: len(f.missing) == 0, Missing: f.missing}, nil
}

// fakeCloud has one instance in each state.
type fakeCloud struct{ cloud.Cloud }

func (fakeCloud) List(context.Context) ([]cloud.Instance, error) {
	return []cloud.Instance{
		{ID: "i1", Service: "beds", DataCentre: "dc-a", State: cloud.StateReady},
		{ID: "i2", Service: "beds", DataCentre: "dc-a", State: cloud.StateLeaving},
		{ID: "i3", Service: "assistant", DataCentre: "dc-b", State: cloud.StateStarting},
	}, nil
}

// bench is an admin process for the command line to call.
type bench struct {
	*WithT
	t      *testing.T
	store  *memstore.Store
	fleet  *fakeFleet
	server *httptest.Server
	dir    string
}

func newBench(t *testing.T) *bench {
	b := &bench{WithT: NewWithT(t), t: t, store: memstore.New(), dir: t.TempDir()}
	b.fleet = &fakeFleet{entries: []api.Entry{
		{ID: "entry-1", DataCentre: "dc-a", Addr: "10.0.0.1:8090", Revision: 1, Preset: "ordinary", Ready: true},
		{ID: "entry-2", DataCentre: "dc-b", Addr: "10.0.0.2:8090", Error: "no answer: unreachable"},
	}}
	handler := admin.New(admin.Options{
		ID: "admin", Config: admin.NewConfigStore(b.store, nil), Fleet: b.fleet, Trail: audit.New(b.store, nil), Store: b.store, Cloud: fakeCloud{},
		Operators: auth.New([]settings.Operator{
			{Name: "ann", Role: settings.RoleOperate, KeyHashes: []string{config.HashKey("ann-key")}},
			{Name: "eve", Role: settings.RoleRead, KeyHashes: []string{config.HashKey("eve-key")}},
		}),
		InForceWait: time.Second, Log: slog.New(slog.DiscardHandler), Metrics: admin.NewMetrics(prometheus.NewRegistry()), Now: time.Now,
	}).Handler()
	b.server = httptest.NewServer(handler)
	t.Cleanup(b.server.Close)
	t.Setenv("MEDLARCTL_SERVER", b.server.URL)
	t.Setenv("MEDLARCTL_KEY", "ann-key")
	t.Setenv("XDG_CONFIG_HOME", b.dir)
	return b
}

// run runs a command line and checks its exit code.
func (b *bench) run(code int, args ...string) (stdout, stderr string) {
	b.t.Helper()
	var out, errOut bytes.Buffer
	got := Run(args, &out, &errOut)
	b.Expect(got).To(Equal(code), "%v: %s%s", args, out.String(), errOut.String())
	return out.String(), errOut.String()
}

func (b *bench) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	b.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// seed applies the documented example as revision 1.
func (b *bench) seed() string {
	path := b.file("config.json", config.Reference)
	out, _ := b.run(ExitOK, "config", "apply", path, "--expect", "0")
	b.Expect(out).To(ContainSubstring("accepted: revision 1, preset ordinary is in force on every registered entry"))
	return path
}

func TestEditingTheConfiguration(t *testing.T) {
	b := newBench(t)
	path := b.seed()
	_, message := b.run(ExitInvalid, "config", "apply", path)
	b.Expect(message).To(ContainSubstring("which revision is the file based on?"))

	text, _ := b.run(ExitOK, "config", "get")
	b.Expect(text).To(HavePrefix("// medlarsill revision: 1\n"))
	mine := b.file("mine.json", strings.Replace(text, `"priority": 7`, `"priority": 8`, 1))
	theirs := b.file("theirs.json", strings.Replace(text, `"priority": 7`, `"priority": 6`, 1))
	out, _ := b.run(ExitOK, "config", "diff", mine)
	b.Expect(out).To(MatchRegexp(`services\[beds\]\.priority +changed +7 +8`))
	out, _ = b.run(ExitOK, "config", "apply", mine)
	b.Expect(out).To(ContainSubstring("accepted: revision 2"))
	_, message = b.run(ExitLostRace, "config", "apply", theirs)
	b.Expect(message).To(ContainSubstring("revision 2 is in force"))
	out, _ = b.run(ExitOK, "config", "apply", mine, "--expect", "latest")
	b.Expect(out).To(ContainSubstring("nothing to change"))
}

func TestInvalidConfiguration(t *testing.T) {
	b := newBench(t)
	b.seed()
	bad := b.file("bad.json", strings.Replace(config.Reference, `"weight": 4`, `"weight": 0`, 1))
	out, _ := b.run(ExitInvalid, "config", "check", bad)
	b.Expect(out).To(MatchRegexp(`bad\.json:\d+: workspaces\[0\]\.weight: must be at least 1`))
	_, message := b.run(ExitInvalid, "config", "apply", bad, "--expect", "1")
	b.Expect(message).To(MatchRegexp(`bad\.json:\d+: workspaces\[0\]\.weight`))
	out, _ = b.run(ExitOK, "config", "check", b.file("good.json", config.Reference))
	b.Expect(out).To(Equal("valid\n"))
	out, _ = b.run(ExitOK, "config", "reference")
	b.Expect(out).To(Equal(config.Reference))
	b.run(ExitInvalid, "config", "check", filepath.Join(b.dir, "none"))
}

func TestPresets(t *testing.T) {
	b := newBench(t)
	text := strings.Replace(config.Reference, `"presets": [`, `"presets": [
    {"name": "peak", "capacity": [{"service": "assistant", "min": 9, "max": 20}, {"service": "beds", "min": 4, "max": 8}]},`, 1)
	b.run(ExitOK, "config", "apply", b.file("c.json", text), "--expect", "0")
	out, _ := b.run(ExitOK, "preset", "list")
	b.Expect(out).To(MatchRegexp(`(?m)^ordinary +\* `))
	b.run(ExitInvalid, "preset", "switch", "peak")
	b.run(ExitOK, "preset", "switch", "peak", "--expect", "1")
	b.run(ExitLostRace, "preset", "switch", "ordinary", "--expect", "1")
	b.run(ExitInvalid, "preset", "switch", "none", "--expect", "2")
	b.fleet.missing = b.fleet.entries[1:]
	out, _ = b.run(ExitNotEverywhere, "preset", "switch", "ordinary", "--expect", "2")
	b.Expect(out).To(And(ContainSubstring("stored as revision 3"), ContainSubstring("entry-2")))

	out, _ = b.run(ExitOK, "audit")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	b.Expect(lines).To(HaveLen(6))
	b.Expect(lines[1]).To(MatchRegexp(`ann +preset\.switch +2 +3 +applied +preset peak to ordinary; not known to be in force on entry-2`))
	b.Expect(lines[2]).To(MatchRegexp(`refused`))
	b.Expect(lines[3]).To(MatchRegexp(`lost-race`))
}

func TestStatus(t *testing.T) {
	b := newBench(t)
	b.seed()
	_, err := b.store.Create(context.Background(), "leases/capacity", []byte(`{"holder":"controller-1","fence":4}`))
	b.Expect(err).NotTo(HaveOccurred())
	out, _ := b.run(ExitOK, "status")
	for _, row := range []string{
		`Example: revision 1, preset ordinary`, `entry-1 +dc-a +10\.0\.0\.1:8090 +1 +ordinary +ready`, `entry-2 .*no answer: unreachable`,
		`beds +dc-a +0 +1 +1`, `beds: 1 ready, 4 to 6 wanted`, `travellers +4 +400 +dc-a,dc-b`, `capacity +controller-1 +4`,
	} {
		b.Expect(out).To(MatchRegexp(row))
	}
	out, _ = b.run(ExitOK, "status", "--output", "json")
	var status api.Status
	b.Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
	b.Expect(status.Entries).To(HaveLen(2))
	b.Expect(status.Leases).To(ConsistOf(api.Lease{Name: "capacity", Holder: "controller-1", Fence: 4}))
}

func TestKeysAndRoles(t *testing.T) {
	b := newBench(t)
	b.seed()
	t.Setenv("MEDLARCTL_KEY", "eve-key")
	b.run(ExitOK, "status")
	_, message := b.run(ExitDenied, "preset", "switch", "ordinary", "--expect", "1", "-o", "json")
	var failure api.ErrorBody
	b.Expect(json.Unmarshal([]byte(message), &failure)).To(Succeed())
	b.Expect(failure.Error.Code).To(Equal(api.CodeForbidden))
	t.Setenv("MEDLARCTL_KEY", "wrong")
	b.run(ExitDenied, "status")
	t.Setenv("MEDLARCTL_KEY", "")
	b.run(ExitInvalid, "status")
	b.run(ExitOK, "status", "--key-file", b.file("key", "ann-key\n"))
	b.run(ExitInvalid, "status", "--key-file", b.file("none", "")+"x")
	profile := b.file("profile.json", `{"server": ["`+b.server.URL+`"], "key": "eve-key"}`)
	t.Setenv("MEDLARCTL_SERVER", "")
	b.run(ExitInvalid, "status")
	b.run(ExitOK, "status", "--profile", profile)
	b.run(ExitInvalid, "status", "--profile", b.file("bad.json", `{"servers": []}`))
}

func TestUsage(t *testing.T) {
	b := newBench(t)
	for _, args := range [][]string{{}, {"nothing"}, {"config"}, {"config", "apply"}, {"status", "--output", "xml"}, {"completion", "zsh"}} {
		b.run(ExitInvalid, args...)
	}
	out, _ := b.run(ExitOK, "--help")
	b.Expect(out).To(ContainSubstring("preset"))
	out, _ = b.run(ExitOK, "completion", "bash")
	b.Expect(out).To(ContainSubstring("complete -o default -F _medlarctl medlarctl"))
	out, _ = b.run(ExitOK, "version")
	b.Expect(out).To(HavePrefix("medlarctl "))
}

// TestLostAnswers puts a server before the admin process that loses answers.
func TestLostAnswers(t *testing.T) {
	b := newBench(t)
	b.seed()
	lose := 0
	inner := b.server.Config.Handler
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || lose == 0 {
			inner.ServeHTTP(w, r)
			return
		}
		lose--
		inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	t.Setenv("MEDLARCTL_SERVER", "http://127.0.0.1:1,"+lossy.URL)
	mine := b.file("mine.json", strings.Replace(config.Reference, `"priority": 7`, `"priority": 8`, 1))
	lose = 2
	out, _ := b.run(ExitOK, "config", "apply", mine, "--expect", "1")
	b.Expect(out).To(ContainSubstring("accepted: revision 2"))
	lose = 100
	theirs := b.file("theirs.json", strings.Replace(config.Reference, `"priority": 7`, `"priority": 9`, 1))
	_, message := b.run(ExitUnknown, "config", "apply", theirs, "--expect", "2")
	b.Expect(message).To(ContainSubstring("may or may not have taken effect"))
	lossy.Close()
	b.run(ExitFailure, "status", "--server", "http://127.0.0.1:1")
}
