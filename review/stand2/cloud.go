package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// cloudAPI is a stand-in of the platform's API of singleton duties. It accepts all calls and records them.
type cloudAPI struct {
	*httptest.Server
	world *world
}

func newCloudAPI(w *world) *cloudAPI {
	c := &cloudAPI{world: w}
	c.Server = httptest.NewServer(c)
	return c
}

// Addr returns the address of the API.
func (c *cloudAPI) Addr() string { return strings.TrimPrefix(c.URL, "http://") }

// ServeHTTP implements http.Handler.
func (c *cloudAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return // the caller has left
	}
	c.world.record.line("platform accepts from %s, epoch %s: %s %s", r.Header.Get(wireHeader("holder")), r.Header.Get(wireHeader("epoch")), r.URL.Path, body)
	w.WriteHeader(http.StatusOK)
}
