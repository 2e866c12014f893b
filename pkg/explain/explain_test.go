package explain

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const logs = `
   3.10 gw-2 {"time":"2026-01-01T00:00:03.1Z","level":"INFO","msg":"refused","request":"9c41","status":503,"reason":"no place in time"}
   3.05 gw-2 {"time":"2026-01-01T00:00:03.05Z","level":"INFO","msg":"attempt failed","request":"9c41","endpoint":"i-1","state":"refused"}
   3.06 gw-1 {"time":"2026-01-01T00:00:03.06Z","level":"INFO","msg":"refused","request":"9c42","status":404}
   3.07 gw-1 {"time":"2026-01-01T00:00:03.07Z","msg":"other","note":"mentions \"9c41\" only","x":"9c41"}
   3.08 gw-1 {"time":"yesterday","msg":"refused","request":"9c41"}
not a line
`

func TestWriteTimeline_OrdersEventsByTime(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(WriteTimeline("9c41", strings.NewReader(logs), &out)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(4))
	g.Expect(lines[0]).To(HavePrefix("request 9c41"))
	g.Expect(lines[1]).To(And(ContainSubstring("0.0 ms"), ContainSubstring("attempt failed"), ContainSubstring("endpoint=i-1 state=refused")))
	g.Expect(lines[2]).To(And(ContainSubstring("50.0 ms"), ContainSubstring("gw-2"), ContainSubstring("reason=no place in time status=503")))
	g.Expect(lines[3]).To(Equal("1 lines could not be read"))
}

func TestWriteTimeline_UnknownRequest(t *testing.T) {
	g := NewWithT(t)
	g.Expect(WriteTimeline("none", strings.NewReader(logs), &bytes.Buffer{})).To(MatchError(ErrNotFound))
}
