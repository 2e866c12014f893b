package limitstest

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

const (
	// endlessRequests is the number of requests that an endpoint answers without end at the same time.
	endlessRequests = 300
	// readBytes is what a caller reads of such an answer.
	readBytes = 1 << 20
	// unfinishedBody and unfinishedEvent are the sizes of what is sent of bodies and events without end.
	unfinishedBody  = 250 << 10
	unfinishedEvent = 1000 << 10
	// endlessTimeout is the deadline of these requests.
	endlessTimeout = 5 * time.Second
)

// rawAnswers returns answers without end, and answers of which a part is sent.
func rawAnswers() []answer {
	var out []answer
	for _, e := range platformtest.EndlessAnswers {
		out = append(out, answer{e.Name, rawFor(e)})
	}
	return append(out,
		answer{"event whose end isn't sent", unfinished(platformtest.StreamBegin, unfinishedEvent)},
		answer{"body whose end isn't sent", unfinished(platformtest.BodyBegin, unfinishedBody)})
}

// rawFor is raw for an answer to the request that is received.
func rawFor(e platformtest.EndlessAnswer) func(*badPlatform, http.ResponseWriter, *http.Request) {
	return func(p *badPlatform, w http.ResponseWriter, r *http.Request) {
		raw(platformtest.BeginFor(r, e.Begin), e.Part)(p, w, r)
	}
}

// unfinished returns an answer of which a part is sent, just below the bounds, and then nothing.
func unfinished(begin string, size int) func(*badPlatform, http.ResponseWriter, *http.Request) {
	return func(p *badPlatform, w http.ResponseWriter, r *http.Request) {
		defer p.ended.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		text := platformtest.BeginFor(r, begin) + strings.Repeat(platformtest.ChunkPart, size/len(platformtest.ChunkPart))
		_, _ = io.WriteString(conn, text) // an error shows in the read
		_, _ = io.Copy(io.Discard, conn)
	}
}

// startGatewayBefore starts a gateway of the smallest instance before an endpoint outside the limits.
func startGatewayBefore(t *testing.T, file string, a answer) (*program, *badPlatform) {
	const smallestFDs = 3075
	endpoint := platformtest.NewEndpoint("i-0")
	t.Cleanup(endpoint.Close)
	bad, addr := startBad(t, endpoint, a)
	bad.mended.Store(true)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put("servers", endpoint.ID, fmt.Sprintf(`{"service":"s1","address":%q,"zone":"dc-a","slots":%d,"state":"ready","sequence":1,"born":1700000000000}`, addr, endlessRequests))
	store.Put("config", "main", platformtest.ConfigOfAllKinds(1, 0, endlessTimeout))
	p := launchGateway(t, file, otherMemoryMB, smallestFDs, setting{"object_api", store.Addr()})
	p.servers[0].answers = func() bool { return status(p.servers[0].addr, platformtest.PlainPath) == http.StatusOK }
	p.awaitAnswers(t)
	bad.mended.Store(false)
	return p, bad
}

// requestAll sends requests at the same time, reads a part of each answer, and then closes it.
func (p *program) requestAll(path string) {
	var callers sync.WaitGroup
	for n := range endlessRequests {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
			req, _ := http.NewRequest(http.MethodGet, "http://"+p.servers[0].addr+path, nil) // the address is valid
			req.Host, req.Header = "a.example", platformtest.Headers(strconv.Itoa(n), endlessTimeout)
			resp, err := client.Do(req)
			if err != nil {
				return // the gateway may close the connection
			}
			_, _ = io.CopyN(io.Discard, resp.Body, readBytes)
			resp.Body.Close()
		})
	}
	callers.Wait()
}

// Guards against a gateway that is ended by a faulty endpoint which answers many requests without end, in heads
// or in bodies: the requests of other callers end with it.
func TestGateway_StaysWithinMemoryOfEndpoint(t *testing.T) {
	file := build(t, "medlarsill-gateway")
	for _, a := range rawAnswers() {
		t.Run(a.name, func(t *testing.T) {
			p, bad := startGatewayBefore(t, file, a)
			path := platformtest.PlainPath
			if strings.Contains(a.name, "event") {
				path = platformtest.StreamPath
			}
			p.requestAll(path)
			p.endureAnswers(t, bad)
		})
	}
}
