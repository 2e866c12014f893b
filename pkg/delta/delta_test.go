package delta

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/medlarsill/medlarsill/pkg/testseed"
)

// document returns a document with the given elements.
func document(version int, elements []string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s]}`, version, strings.Join(elements, ",")))
}

func TestDelta_OneMoreElementIsSmall(t *testing.T) {
	g := NewWithT(t)
	var elements []string
	for n := range 4000 {
		elements = append(elements, fmt.Sprintf(`{"name":"r-%d","prefix":"/%d/"}`, n, n*7919))
	}
	base := document(7, elements)
	d := New(base, document(8, append(elements[:2000:2000], append([]string{`{"name":"new","prefix":"/new/"}`}, elements[2000:]...)...)))
	text := 0
	for _, e := range d.Edits {
		text += len(e.Text)
	}
	g.Expect(text).To(BeNumerically("<", 200))
	g.Expect(len(d.Edits)).To(BeNumerically("<", 5))
}

// Property: a delta leads from its base to its result, and from no other document anywhere.
func TestDelta_LeadsFromBaseToResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		element := rapid.SampledFrom([]string{`{"a":1}`, `{"b":[{"c":2}]}`, `x`, `{`, ``, `{"a":1}{`})
		base := document(1, rapid.SliceOfN(element, 0, 12).Draw(t, "base"))
		result := document(2, rapid.SliceOfN(element, 0, 12).Draw(t, "result"))
		d := New(base, result)
		got, err := d.Apply(base)
		if err != nil || string(got) != string(result) {
			t.Fatalf("Apply(base) = %q, %v; want %q", got, err, result)
		}
		if _, err := d.Apply(append(base, ' ')); err == nil {
			t.Fatal("Apply accepted another base")
		}
	})
}

func TestDelta_RejectsInvalidEdits(t *testing.T) {
	g := NewWithT(t)
	base := []byte(`{"a":1}`)
	valid := New(base, []byte(`{"a":1}{"b":2}`))
	for name, change := range map[string]func(d *Delta){
		"offset below 0":  func(d *Delta) { d.Edits[0].Offset = -1 },
		"length below 0":  func(d *Delta) { d.Edits[0].Length = -1 },
		"beyond the base": func(d *Delta) { d.Edits[0].Length = 1 << 62 },
		"other result":    func(d *Delta) { d.Result++ },
		"too long":        func(d *Delta) { d.Size = 3 },
	} {
		d := valid
		d.Edits = append([]Edit(nil), valid.Edits...)
		change(&d)
		_, err := d.Apply(base)
		g.Expect(err).To(MatchError(ErrInvalid), name)
	}
}
