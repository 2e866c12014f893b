package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestForwarding_SurvivesTheWay(t *testing.T) {
	g := NewWithT(t)
	told := forwarding{configVersion: 7, timeLeft: 1500 * time.Millisecond, elapsed: 20 * time.Microsecond, maxRuns: 2, repeated: true, charged: true, counted: true}
	h := http.Header{"X-Model": {"m"}}
	told.set(h)
	got, err := takeForwarding(h)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(told))
	g.Expect(h).To(Equal(http.Header{"X-Model": {"m"}}), "the headers don't reach endpoints")
}

// Guards against a request from a peer that runs without a limit on time or runs, since what the
// peer told of it isn't valid.
func TestForwarding_RejectsInvalidHeaders(t *testing.T) {
	for _, change := range [][2]string{
		{headerConfigVersion, "-1"}, {headerConfigVersion, ""}, {headerTimeLeft, "-5"}, {headerTimeLeft, "1e9"}, {headerTimeLeft, strings.Repeat("9", 30)},
		{headerElapsed, ""}, {headerElapsed, "9223372036854775807"}, {headerMaxRuns, "0"}, {headerMaxRuns, "-1"}, {headerMaxRuns, "many"},
		{headerRepeated, ""}, {headerCharged, "2"}, {headerCounted, "perhaps"},
	} {
		g := NewWithT(t)
		h := http.Header{}
		forwarding{configVersion: 7, timeLeft: time.Second, maxRuns: 1}.set(h)
		h.Set(change[0], change[1])
		_, err := takeForwarding(h)
		g.Expect(err).To(MatchError(errForwarding), "%v", change)
		g.Expect(h).To(BeEmpty())
	}
}

// Guards against an endpoint whose answer makes an instance think that its peer has not taken the
// request, so that it runs once more.
func TestCopyHeader_DropsHeadersOfInstances(t *testing.T) {
	g := NewWithT(t)
	to := http.Header{}
	copyHeader(to, http.Header{headerNotTaken: {"no"}, "X-Model": {"m"}})
	g.Expect(to).NotTo(HaveKey(headerNotTaken))
	g.Expect(to).To(HaveKeyWithValue("X-Model", []string{"m"}))
}
