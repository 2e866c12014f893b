package forward

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/httpconn/httpconntest"
)

// Guards against malformed answers of plain services that callers get as answers: the call may have run, and is sent
// again only if it is idempotent.
func TestForwarder_PassesOnNoMalformedAnswer(t *testing.T) {
	all := httpconntest.Malformed("the body")
	all["blank in a trailer"] = httpconntest.MalformedTrailer("the body")
	for name, answer := range all {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			broken, sound := httpconntest.Serve(t, answer), newFakeEndpoint(t, respondWith("held"))
			f := newFixture(t, broken.HostPort(), sound.addr())
			_, err := f.hold("", "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown))
			_, err = f.hold("k", "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown))
			_, err = f.hold("k", "bed 1")
			g.Expect(err).To(MatchError(ErrUnknown), "not run again")
			g.Expect(broken.Requests()).To(Equal(2))
			a, err := f.call("GET", "/availability", "", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(a.Body)).To(Equal("held"))
		})
	}
}

// Guards against a refusal in a malformed answer that counts as one, so that the call runs twice.
func TestForwarder_TakesMalformedRefusalForNone(t *testing.T) {
	g := NewWithT(t)
	broken := httpconntest.Serve(t, "HTTP/1.1 600 Trouble\r\n"+NotRunHeader+": full\r\nContent-Length: 0\r\n\r\n")
	sound := newFakeEndpoint(t, respondWith("held"))
	f := newFixture(t, broken.HostPort(), sound.addr())
	_, err := f.hold("", "bed 1")
	g.Expect(err).To(MatchError(ErrUnknown))
	g.Expect(sound.count()).To(BeZero())
}

// resetTries is the number of times that a connection is reset: it depends on the kernel which call gets its error.
const resetTries = 40

// Guards against the first part of an answer that a caller gets as a whole one, since the connection was reset while the
// call's body was being written.
func TestForwarder_PassesOnNoAnswerThatIsResetDuringUpload(t *testing.T) {
	answer := func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1000) }
	f := newFixture(t, httpconntest.ServeEarly(t, answer, httpconntest.Reset).HostPort())
	body := strings.Repeat("x", httpconntest.UploadBytes)
	for range resetTries {
		g := NewWithT(t)
		_, err := f.hold("", body)
		g.Expect(err).To(MatchError(ErrUnknown))
	}
}

// Guards against sound answers that are lost since they come before the end of the call's body.
func TestForwarder_PassesOnWholeAnswersDuringUpload(t *testing.T) {
	for answer, end := range map[string]httpconntest.Ending{
		"HTTP/1.1 200 OK\r\n\r\nheld":                                                 httpconntest.HalfClose,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld":                            httpconntest.KeepOpen,
		"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nheld":                     httpconntest.KeepOpen,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nheld\r\n0\r\n\r\n": httpconntest.KeepOpen,
	} {
		g := NewWithT(t)
		s := httpconntest.ServeEarly(t, func(*http.Request) string { return answer }, end)
		a, err := newFixture(t, s.HostPort()).hold("", strings.Repeat("x", httpconntest.UploadBytes))
		g.Expect(err).NotTo(HaveOccurred(), answer)
		g.Expect(string(a.Body)).To(Equal("held"))
		g.Expect(a.Status).To(BeElementOf(http.StatusOK, http.StatusRequestEntityTooLarge))
	}
}
