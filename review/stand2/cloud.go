package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cloudCall is one call that the cloud API has accepted.
type cloudCall struct {
	at                       time.Time
	holder, subject, content string
	fence                    uint64
}

// cloudAPI is a stand-in of the platform's API of singleton duties. It doesn't check the fence.
type cloudAPI struct {
	*httptest.Server
	world *world
	mu    sync.Mutex
	calls []cloudCall
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
	call := cloudCall{at: time.Now(), holder: r.Header.Get("X-Duty-Holder")}
	call.fence, _ = strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	switch r.URL.Path {
	case "/usage":
		var in struct {
			WindowID int64          `json:"windowId"`
			Counts   map[string]int `json:"counts"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		maps.DeleteFunc(in.Counts, func(_ string, n int) bool { return n == 0 })
		call.subject, call.content = "usage", fmt.Sprintf("window %d: %v", in.WindowID, in.Counts)
	default:
		var in struct {
			Service      string `json:"service"`
			Zone         string `json:"zone"`
			DesiredCount int    `json:"desiredCount"`
			UseSpot      bool   `json:"useSpot"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		call.subject, call.content = "scale "+in.Service+" "+in.Zone, fmt.Sprintf("%d spot %t", in.DesiredCount, in.UseSpot)
	}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.world.record.line("platform accepts from %s, epoch %d: %s %s", call.holder, call.fence, call.subject, call.content)
	w.WriteHeader(http.StatusOK)
}
