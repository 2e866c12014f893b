package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

func TestExplain_ReadsNamedLogs(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	first, second := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	g.Expect(os.WriteFile(first, []byte(`{"time":"2026-01-01T00:00:03Z","msg":"attempt failed","request":"9c41","endpoint":"i-1"}`+"\n"), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(second, []byte(`{"time":"2026-01-01T00:00:04Z","msg":"refused","request":"9c41","status":503}`+"\n"), 0o600)).To(Succeed())
	var out, stderr bytes.Buffer
	g.Expect(Run([]string{"explain", "9c41", first, second}, &out, &stderr)).To(Equal(ExitOK), stderr.String())
	g.Expect(out.String()).To(And(ContainSubstring("endpoint=i-1"), ContainSubstring("1000.0 ms"), ContainSubstring("status=503")))
	g.Expect(Run([]string{"explain", "none", first}, &out, &stderr)).To(Equal(ExitFailure))
	g.Expect(Run([]string{"explain", "9c41", filepath.Join(dir, "missing")}, &out, &stderr)).To(Equal(ExitInvalid))
	g.Expect(Run([]string{"explain"}, &out, &stderr)).To(Equal(ExitInvalid))
}
