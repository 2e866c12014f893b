package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/medlarsill/medlarsill/pkg/strictjson"
	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

func parseReference(t testing.TB) *Document {
	d := &Document{}
	if err := strictjson.Decode("reference", []byte(Reference), d); err != nil {
		t.Fatal(err)
	}
	return d
}

// editReference returns the reference document with the first occurrence of from replaced.
func editReference(t *testing.T, from, to string) string {
	if !strings.Contains(Reference, from) {
		t.Fatalf("the reference does not contain %q", from)
	}
	return strings.Replace(Reference, from, to, 1)
}

// lineOf returns the line number of the first occurrence of part in text.
func lineOf(text, part string) int {
	return 1 + strings.Count(text[:strings.Index(text, part)], "\n")
}

func TestValidate_ReportsLineAndField(t *testing.T) {
	for _, c := range []struct {
		from, to, field, message string
		// lineText is text on the expected line, if that is not the edited line.
		lineText string
	}{
		{`"organisation": "Example"`, `"organisation": ""`, "organisation", "must not be empty", ""},
		{`"region": "region-1"`, `"region": ""`, "data_centres[0].region", "must not be empty", ""},
		{`{"name": "dc-b"`, `{"name": "dc-a"`, "data_centres[1].name", `"dc-a" is given twice`, ""},
		{`{"name": "dc-b"`, `{"name": "DC b"`, "data_centres[1].name", "is not a name", ""},
		{`{"data_centre": "dc-b", "on`, `{"data_centre": "dc-x", "on`, "machine_classes[0].prices[1].data_centre", `data centre "dc-x" is not declared`, ""},
		{`"on_demand_per_hour": 4.0`, `"on_demand_per_hour": 0`, "machine_classes[0].prices[0].on_demand_per_hour", "more than 0", ""},
		{`"kind": "plain"`, `"kind": "other"`, "services[1].kind", "must be \"model\" or \"plain\"", ""},
		{`"models": ["assistant"]`, `"models": []`, "services[0].models", "at least one model name", ""},
		{`"machine_class": "cpu-8"`, `"machine_class": "cpu-9"`, "services[1].machine_class", "is not declared", ""},
		{`"deadline_ms": 60000`, `"deadline_ms": -1`, "services[0].deadline_ms", "milliseconds", ""},
		{`"deadline_ms": 60000`, `"deadline_ms": "60s"`, "services[0].deadline_ms", "must be a whole number of milliseconds, not a string", ""},
		{`"priority": 7`, `"priority": 10`, "services[1].priority", "from 0 (lowest) to 9", ""},
		{`"model": "assistant",
          //`, `"model": "other",
          //`, "services[0].model_priorities[0].model", `the service has no model "other"`, `"model": "other"`},
		{`"priority": 4`, `"priority": 11`, "services[0].model_priorities[0].priority", "from 0 (lowest) to 9", ""},
		{`"batch_limit": 8`, `"batch_limit": 0`, "services[0].batch_limit", "at least 1", ""},
		{`"path_prefix": "/holds"`, `"path_prefix": "holds"`, "services[1].non_idempotent[0].path_prefix", "must start with '/'", ""},
		{`"method": "POST"`, `"method": "post"`, "services[1].non_idempotent[0].method", "must be one of", ""},
		{`"key_sha256": ["2427`, `"key_sha256": ["2X27`, "workspaces[0].key_sha256[0]", "64 lower-case hex digits", ""},
		{`"data_centres": ["dc-a", "dc-b"]`, `"data_centres": []`, "workspaces[0].data_centres", "at least one data centre", ""},
		{`"data_centres": ["dc-a", "dc-b"]`, `"data_centres": ["dc-a", "dc-z"]`, "workspaces[0].data_centres[1]", `data centre "dc-z" is not declared`, ""},
		{`"data_centres": ["dc-a", "dc-b"]`, `"data_centres": ["dc-b"]`, "workspaces[0].services[1]", "no data centre allowed for workspace", `"services": ["assistant", "beds"]`},
		{`"services": ["assistant", "beds"]`, `"services": ["assistant", "beds", "cups"]`, "workspaces[0].services[2]", `service "cups" is not declared`, ""},
		{`"weight": 4`, `"weight": 0`, "workspaces[0].weight", "at least 1", ""},
		{`"max_in_flight": 400`, `"max_in_fligth": 400`, "workspaces[0].max_in_fligth", "unknown field", ""},
		{`"path": "/ask"`, `"path": "/v1/ask"`, "call_styles[0].path", "belong to the callers' interface", ""},
		{`none. Default: none.
      "model": "assistant"`, `none. Default: none.
      "model": "asistant"`, "call_styles[0].model", "no service declares", `"model": "asistant"`},
		{`"service": "beds",`, `"service": "assistant",`, "call_styles[1].service", "is not a plain service", ""},
		{`"closed_data_centres": []`, `"closed_data_centres": ["dc-a", "dc-b"]`, "presets[0].closed_data_centres", "allows nothing for workspace \"travellers\"", ""},
		{`"max": 18`, `"max": 0`, "presets[0].capacity[0].max", "allows nothing", ""},
		{`{"service": "beds", "min": 4, "max": 6, "reclaimable_share": 0.0},`, ``, "presets[0].capacity", "allows nothing for service \"beds\"", `"capacity": [`},
		{`"reclaimable_share": 0.6`, `"reclaimable_share": 60`, "presets[0].capacity[0].reclaimable_share", "from 0 to 1", ""},
		{`"initial_preset": "ordinary"`, `"initial_preset": "odd"`, "initial_preset", "is not declared in presets", ""},
	} {
		g := NewWithT(t)
		text := editReference(t, c.from, c.to)
		err := strictjson.Decode("config.json", []byte(text), &Document{})
		problems, ok := err.(strictjson.Problems)
		g.Expect(ok).To(BeTrue(), "%s: %v", c.field, err)
		want := And(HaveField("File", "config.json"), HaveField("Field", c.field), HaveField("Message", ContainSubstring(c.message)))
		lineText := c.lineText
		if lineText == "" {
			lineText = c.to
		}
		want = And(want, HaveField("Line", lineOf(text, lineText)))
		g.Expect(problems).To(ContainElement(want))
	}
}

// TestReference_DocumentsEveryField checks that each field of the reference document
// has a comment on the line before it; the weights share one comment.
func TestReference_DocumentsEveryField(t *testing.T) {
	g := NewWithT(t)
	var visit func(reflect.Type)
	visit = func(typ reflect.Type) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if name == "" {
				continue
			}
			offset := strings.Index(Reference, fmt.Sprintf("%q:", name))
			g.Expect(offset).To(BeNumerically(">=", 0), "%s is missing", name)
			before := strings.TrimRight(Reference[:strings.LastIndex(Reference[:offset], "\n")], " \n")
			last := before[strings.LastIndex(before, "\n")+1:]
			documented := strings.Contains(last, "//") || strings.HasSuffix(name, "_weight")
			g.Expect(documented).To(BeTrue(), "%s has no comment", name)
			if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
				visit(f.Type.Elem())
			}
		}
	}
	visit(reflect.TypeFor[Document]())
}

func TestDiff_ReportsChangedFields(t *testing.T) {
	g := NewWithT(t)
	a := parseReference(t)
	b, err := a.Clone()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Diff(a, b)).To(BeEmpty())
	b.Services[0].Priority = 6
	b.Services[0].DeadlineMS = 0
	b.Workspaces[0].KeyHashes = []string{HashKey("new")}
	b.DataCentres = append(b.DataCentres, DataCentre{Name: "dc-c", Region: "r"})
	slices.Reverse(b.Presets[0].Capacity)
	g.Expect(Diff(a, b)).To(Equal([]Change{
		{Field: "data_centres[dc-c].name", Kind: Added, To: `"dc-c"`},
		{Field: "data_centres[dc-c].region", Kind: Added, To: `"r"`},
		{Field: "services[assistant].deadline_ms", Kind: Removed, From: "60000"},
		{Field: "services[assistant].priority", Kind: Changed, From: "5", To: "6"},
		{Field: "workspaces[travellers].key_sha256", Kind: Changed, From: `["242742a5"]`, To: `["11507a0e"]`},
	}))
	g.Expect(Diff(nil, a)).To(HaveEach(HaveField("Kind", Added)))
}

// TestIndex_MatchesLinearSearch checks that compiled and uncompiled documents return
// the same results, also for documents with duplicate names.
func TestIndex_MatchesLinearSearch(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	nameLists := rapid.SliceOfN(names, 0, 3)
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		d := &Document{}
		for range rapid.IntRange(0, 4).Draw(rt, "n") {
			d.Workspaces = append(d.Workspaces, Workspace{Name: names.Draw(rt, "w"), KeyHashes: []string{HashKey(names.Draw(rt, "k"))}, DataCentres: nameLists.Draw(rt, "dcs")})
			d.Services = append(d.Services, Service{Name: names.Draw(rt, "s"), Models: nameLists.Draw(rt, "models")})
			d.Presets = append(d.Presets, Preset{Name: names.Draw(rt, "p"), ClosedDataCentres: nameLists.Draw(rt, "closed")})
			d.Classes = append(d.Classes, MachineClass{Name: names.Draw(rt, "c"), Prices: []Price{{DataCentre: names.Draw(rt, "dc"), OnDemand: 2, Reclaimable: 1}}})
		}
		compiled := *d
		compiled.Compile()
		for _, n := range []string{"a", "b", "c", "d"} {
			expectSameResult(g, d.WorkspaceByKey, compiled.WorkspaceByKey, n)
			expectSameResult(g, d.WorkspaceByName, compiled.WorkspaceByName, n)
			expectSameResult(g, d.ServiceByModel, compiled.ServiceByModel, n)
			expectSameResult(g, d.ServiceByName, compiled.ServiceByName, n)
			expectSameResult(g, d.PresetByName, compiled.PresetByName, n)
			for _, m := range []string{"a", "b"} {
				p1, ok1 := d.PriceOf(n, m, true)
				p2, ok2 := compiled.PriceOf(n, m, true)
				g.Expect(ok1).To(Equal(ok2))
				g.Expect(p1).To(Equal(p2))
			}
			for i := range d.Workspaces {
				w, _ := d.WorkspaceByName(d.Workspaces[i].Name)
				uncompiled, indexed := Envelope{Preset: n, Document: *d}, Envelope{Preset: n, Document: compiled}
				g.Expect(uncompiled.AllowedDataCentres(w)).To(Equal(indexed.AllowedDataCentres(w)))
			}
		}
	})
}

func expectSameResult[T any](g *WithT, a, b func(string) (*T, bool), name string) {
	x, ok1 := a(name)
	y, ok2 := b(name)
	g.Expect(ok1).To(Equal(ok2))
	g.Expect(x).To(BeIdenticalTo(y))
}

func TestEnvelope_Outcome(t *testing.T) {
	g := NewWithT(t)
	d := parseReference(t)
	var env *Envelope
	g.Expect(env.Outcome(1, "w1")).To(Equal(WriteUnknown))
	for i := 1; i <= 2*MaxRecentWrites; i++ {
		env = env.Next(fmt.Sprintf("w%d", i), "ordinary", d)
	}
	last := env.Revision
	g.Expect(env.RecentWrites).To(HaveLen(MaxRecentWrites))
	g.Expect(env.Outcome(last, fmt.Sprintf("w%d", last))).To(Equal(WriteApplied))
	g.Expect(env.Outcome(last-3, fmt.Sprintf("w%d", last-3))).To(Equal(WriteApplied))
	g.Expect(env.Outcome(last-3, "other")).To(Equal(WriteSuperseded))
	g.Expect(env.Outcome(1, "w1")).To(Equal(WriteUnknown), "no longer in RecentWrites")
	g.Expect(env.Outcome(last+1, "next")).To(Equal(WriteUnknown))
}

// FuzzDocument checks that accepted documents are unchanged by an encode and decode
// round trip, and that the preset in force leaves every workspace a data centre.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(Reference))
	f.Add([]byte(`{"organisation": "x", "presets": [{"name": "p", "cost_weight": 1e308}], "initial_preset": "p"}`))
	f.Add([]byte(`{"workspaces": [{"name": "w", "key_sha256": ["", "zz", null]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &Document{}
		if strictjson.Decode("f", data, d) != nil {
			return
		}
		env := (*Envelope)(nil).Next("w", d.InitialPreset, d)
		stored, err := json.Marshal(env)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Envelope
		if err := json.Unmarshal(stored, &decoded); err != nil {
			t.Fatal(err)
		}
		if diff := Diff(d, &decoded.Document); len(diff) > 0 {
			t.Fatalf("round trip changed the document: %v", diff)
		}
		for i := range decoded.Document.Workspaces {
			if len(decoded.AllowedDataCentres(&decoded.Document.Workspaces[i])) == 0 {
				t.Fatal("the preset in force leaves a workspace no data centre")
			}
		}
	})
}

// benchmarkDocument returns the reference document with additional workspaces.
func benchmarkDocument(b *testing.B, workspaces int) *Document {
	d := parseReference(b)
	for i := range workspaces {
		w := d.Workspaces[0]
		w.Name = fmt.Sprintf("w-%d", i)
		w.KeyHashes = []string{HashKey(w.Name)}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{5, 1000} {
		d := benchmarkDocument(b, n)
		key := fmt.Sprintf("w-%d", n-1)
		for _, compiled := range []bool{false, true} {
			env := Envelope{Preset: "ordinary", Document: *d}
			env.Document.index = nil
			if compiled {
				env.Document.Compile()
			}
			b.Run(fmt.Sprintf("workspaces=%d/compiled=%t", n, compiled), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					w, _ := env.Document.WorkspaceByKey(key)
					_, _ = env.Document.ServiceByModel("assistant")
					_ = env.AllowedDataCentres(w)
				}
			})
		}
	}
}
