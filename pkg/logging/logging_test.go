package logging

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/settings"
)

func TestNew_FormatAndLevel(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	New(settings.Log{Format: "json", Level: "warn"}, &out).Info("hidden")
	g.Expect(out.String()).To(BeEmpty())
	New(settings.Log{Format: "json", Level: "info"}, &out).Info("shown", "revision", 3)
	g.Expect(out.String()).To(ContainSubstring(`"msg":"shown","revision":3`))
	out.Reset()
	New(settings.Log{Format: "text", Level: "debug"}, &out).Debug("shown", "revision", 3)
	g.Expect(out.String()).To(ContainSubstring("level=DEBUG msg=shown revision=3"))
}
