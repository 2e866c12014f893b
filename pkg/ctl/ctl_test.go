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

// fakeFleet is a fleet with the given entries. The entries in missing never apply
// a new revision.
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

// fixture runs an admin process that medlarctl connects to.
type fixture struct {
	*WithT
	t      *testing.T
	store  *memstore.Store
	fleet  *fakeFleet
	server *httptest.Server
	dir    string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{WithT: NewWithT(t), t: t, store: memstore.New(), dir: t.TempDir()}
	f.fleet = &fakeFleet{entries: []api.Entry{
		{ID: "entry-1", DataCentre: "dc-a", Addr: "10.0.0.1:8090", Revision: 1, Preset: "ordinary", Ready: true},
		{ID: "entry-2", DataCentre: "dc-b", Addr: "10.0.0.2:8090", Error: "no answer: unreachable"},
	}}
	handler := admin.New(admin.Options{
		ID: "admin", Config: admin.NewConfigStore(f.store, nil), Fleet: f.fleet, Trail: audit.New(f.store, nil), Store: f.store, Cloud: fakeCloud{},
		Operators: auth.New([]settings.Operator{
			{Name: "ann", Role: settings.RoleOperate, KeyHashes: []string{config.HashKey("ann-key")}},
			{Name: "eve", Role: settings.RoleRead, KeyHashes: []string{config.HashKey("eve-key")}},
		}),
		InForceWait: time.Second, Log: slog.New(slog.DiscardHandler), Metrics: admin.NewMetrics(prometheus.NewRegistry()), Now: time.Now,
	}).Handler()
	f.server = httptest.NewServer(handler)
	t.Cleanup(f.server.Close)
	t.Setenv("MEDLARCTL_SERVER", f.server.URL)
	t.Setenv("MEDLARCTL_KEY", "ann-key")
	t.Setenv("XDG_CONFIG_HOME", f.dir)
	return f
}

// run executes a command line and checks its exit code.
func (f *fixture) run(code int, args ...string) (stdout, stderr string) {
	f.t.Helper()
	var out, errOut bytes.Buffer
	got := Run(args, &out, &errOut)
	f.Expect(got).To(Equal(code), "%v: %s%s", args, out.String(), errOut.String())
	return out.String(), errOut.String()
}

func (f *fixture) file(name, text string) string {
	path := filepath.Join(f.dir, name)
	f.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// applyReference applies the reference configuration as revision 1.
func (f *fixture) applyReference() string {
	path := f.file("config.json", config.Reference)
	out, _ := f.run(ExitOK, "config", "apply", path, "--expect", "0")
	f.Expect(out).To(ContainSubstring("accepted: revision 1, preset ordinary is in force on every registered entry"))
	return path
}

func TestConfigApply_ChecksRevision(t *testing.T) {
	f := newFixture(t)
	path := f.applyReference()
	_, message := f.run(ExitInvalid, "config", "apply", path)
	f.Expect(message).To(ContainSubstring("no expected revision: give --expect REV"))

	text, _ := f.run(ExitOK, "config", "get")
	f.Expect(text).To(HavePrefix("// medlarsill revision: 1\n"))
	mine := f.file("mine.json", strings.Replace(text, `"priority": 7`, `"priority": 8`, 1))
	theirs := f.file("theirs.json", strings.Replace(text, `"priority": 7`, `"priority": 6`, 1))
	out, _ := f.run(ExitOK, "config", "diff", mine)
	f.Expect(out).To(MatchRegexp(`services\[beds\]\.priority +changed +7 +8`))
	out, _ = f.run(ExitOK, "config", "apply", mine)
	f.Expect(out).To(ContainSubstring("accepted: revision 2"))
	_, message = f.run(ExitLostRace, "config", "apply", theirs)
	f.Expect(message).To(ContainSubstring("revision 2 is in force"))
	out, _ = f.run(ExitOK, "config", "apply", mine, "--expect", "latest")
	f.Expect(out).To(ContainSubstring("nothing to change"))
}

func TestConfigCheck(t *testing.T) {
	f := newFixture(t)
	f.applyReference()
	bad := f.file("bad.json", strings.Replace(config.Reference, `"weight": 4`, `"weight": 0`, 1))
	out, _ := f.run(ExitInvalid, "config", "check", bad)
	f.Expect(out).To(MatchRegexp(`bad\.json:\d+: workspaces\[0\]\.weight: must be at least 1`))
	_, message := f.run(ExitInvalid, "config", "apply", bad, "--expect", "1")
	f.Expect(message).To(MatchRegexp(`bad\.json:\d+: workspaces\[0\]\.weight`))
	out, _ = f.run(ExitOK, "config", "check", f.file("good.json", config.Reference))
	f.Expect(out).To(Equal("valid\n"))
	out, _ = f.run(ExitOK, "config", "reference")
	f.Expect(out).To(Equal(config.Reference))
	f.run(ExitInvalid, "config", "check", filepath.Join(f.dir, "none"))
}

func TestPresetSwitch(t *testing.T) {
	f := newFixture(t)
	text := strings.Replace(config.Reference, `"presets": [`, `"presets": [
    {"name": "peak", "capacity": [{"service": "assistant", "min": 9, "max": 20}, {"service": "beds", "min": 4, "max": 8}]},`, 1)
	f.run(ExitOK, "config", "apply", f.file("c.json", text), "--expect", "0")
	out, _ := f.run(ExitOK, "preset", "list")
	f.Expect(out).To(MatchRegexp(`(?m)^ordinary +\* `))
	f.run(ExitInvalid, "preset", "switch", "peak")
	f.run(ExitOK, "preset", "switch", "peak", "--expect", "1")
	f.run(ExitLostRace, "preset", "switch", "ordinary", "--expect", "1")
	f.run(ExitInvalid, "preset", "switch", "none", "--expect", "2")
	f.fleet.missing = f.fleet.entries[1:]
	out, _ = f.run(ExitNotYetInForce, "preset", "switch", "ordinary", "--expect", "2")
	f.Expect(out).To(And(ContainSubstring("stored as revision 3"), ContainSubstring("entry-2")))

	out, _ = f.run(ExitOK, "audit")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	f.Expect(lines).To(HaveLen(6))
	f.Expect(lines[1]).To(MatchRegexp(`ann +preset\.switch +2 +3 +applied +preset peak to ordinary; not known to be in force on entry-2`))
	f.Expect(lines[2]).To(MatchRegexp(`refused`))
	f.Expect(lines[3]).To(MatchRegexp(`lost-race`))
}

func TestStatus(t *testing.T) {
	f := newFixture(t)
	f.applyReference()
	_, err := f.store.Create(context.Background(), "leases/capacity", []byte(`{"holder":"controller-1","fence":4}`))
	f.Expect(err).NotTo(HaveOccurred())
	out, _ := f.run(ExitOK, "status")
	for _, row := range []string{
		`Example: revision 1, preset ordinary`, `entry-1 +dc-a +10\.0\.0\.1:8090 +1 +ordinary +ready`, `entry-2 .*no answer: unreachable`,
		`beds +dc-a +0 +1 +1`, `beds: 1 ready, 4 to 6 wanted`, `travellers +4 +400 +dc-a,dc-b`, `capacity +controller-1 +4`,
	} {
		f.Expect(out).To(MatchRegexp(row))
	}
	out, _ = f.run(ExitOK, "status", "--output", "json")
	var status api.Status
	f.Expect(json.Unmarshal([]byte(out), &status)).To(Succeed())
	f.Expect(status.Entries).To(HaveLen(2))
	f.Expect(status.Leases).To(ConsistOf(api.Lease{Name: "capacity", Holder: "controller-1", Fence: 4}))
}

func TestKeysRolesAndProfiles(t *testing.T) {
	f := newFixture(t)
	f.applyReference()
	t.Setenv("MEDLARCTL_KEY", "eve-key")
	f.run(ExitOK, "status")
	_, message := f.run(ExitDenied, "preset", "switch", "ordinary", "--expect", "1", "-o", "json")
	var failure api.ErrorBody
	f.Expect(json.Unmarshal([]byte(message), &failure)).To(Succeed())
	f.Expect(failure.Error.Code).To(Equal(api.CodeForbidden))
	t.Setenv("MEDLARCTL_KEY", "wrong")
	f.run(ExitDenied, "status")
	t.Setenv("MEDLARCTL_KEY", "")
	f.run(ExitInvalid, "status")
	f.run(ExitOK, "status", "--key-file", f.file("key", "ann-key\n"))
	f.run(ExitInvalid, "status", "--key-file", f.file("none", "")+"x")
	profile := f.file("profile.json", `{"server": ["`+f.server.URL+`"], "key": "eve-key"}`)
	t.Setenv("MEDLARCTL_SERVER", "")
	f.run(ExitInvalid, "status")
	f.run(ExitOK, "status", "--profile", profile)
	f.run(ExitInvalid, "status", "--profile", f.file("bad.json", `{"servers": []}`))
}

func TestHelpAndUsageErrors(t *testing.T) {
	f := newFixture(t)
	for _, args := range [][]string{{}, {"nothing"}, {"config"}, {"config", "apply"}, {"status", "--output", "xml"}, {"completion", "zsh"}} {
		f.run(ExitInvalid, args...)
	}
	out, _ := f.run(ExitOK, "--help")
	f.Expect(out).To(ContainSubstring("preset"))
	out, _ = f.run(ExitOK, "completion", "bash")
	f.Expect(out).To(ContainSubstring("complete -o default -F _medlarctl medlarctl"))
	out, _ = f.run(ExitOK, "version")
	f.Expect(out).To(HavePrefix("medlarctl "))
}

// TestConfigApply_LostResponse puts a proxy in front of the admin process that
// forwards a change but closes the connection without a response. The client must
// retry, and report an unknown outcome if no response ever arrives.
func TestConfigApply_LostResponse(t *testing.T) {
	f := newFixture(t)
	f.applyReference()
	responsesToDrop := 0
	inner := f.server.Config.Handler
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPut || responsesToDrop == 0 {
			inner.ServeHTTP(w, r)
			return
		}
		responsesToDrop--
		inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	t.Setenv("MEDLARCTL_SERVER", "http://127.0.0.1:1,"+lossy.URL)
	mine := f.file("mine.json", strings.Replace(config.Reference, `"priority": 7`, `"priority": 8`, 1))
	responsesToDrop = 2
	out, _ := f.run(ExitOK, "config", "apply", mine, "--expect", "1")
	f.Expect(out).To(ContainSubstring("accepted: revision 2"))
	responsesToDrop = 100
	theirs := f.file("theirs.json", strings.Replace(config.Reference, `"priority": 7`, `"priority": 9`, 1))
	_, message := f.run(ExitUnknown, "config", "apply", theirs, "--expect", "2")
	f.Expect(message).To(ContainSubstring("may or may not have taken effect"))
	lossy.Close()
	f.run(ExitFailure, "status", "--server", "http://127.0.0.1:1")
}
