// Command stand2 plays the cases of the second review against real gateway processes. Callers, endpoints
// and the platform are stand-ins in this process.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// key is the API key of the only workspace.
const key = "k1"

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    io.WriteCloser
	started time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// world holds the processes and the stand-ins of one case.
type world struct {
	record   *record
	dir      string
	trouble  bool
	store    *platformtest.Store
	cloud    *cloudAPI
	gateways []*gateway
	// storeView returns the address at which a gateway reaches the store; nil for the store's own.
	storeView func(g *gateway) string
}

// newWorld returns a world without gateways, which keeps its files in a new temporary folder.
func newWorld(r *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "medlarsill-review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, trouble: trouble, store: platformtest.NewStore()}
	w.cloud = newCloudAPI(w)
	return w, nil
}

// storeAddr returns the address at which a gateway reaches the store.
func (w *world) storeAddr(g *gateway) string {
	if w.storeView != nil {
		return w.storeView(g)
	}
	return w.store.Addr()
}

// addGateways adds gateways on loopback addresses that no other run uses.
func (w *world) addGateways(n int) {
	pid := os.Getpid()
	for i := range n {
		w.gateways = append(w.gateways, &gateway{
			name: fmt.Sprintf("front-bp-a-%d", i+1), zone: "bp-a", dir: w.dir, world: w,
			ip: fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, 1+pid%250, 101+i),
		})
	}
}

// startGateways starts all gateways and waits until they are ready.
func (w *world) startGateways() error {
	for _, g := range w.gateways {
		if err := g.start(true); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if !waitFor(15*time.Second, g.ready) {
			return fmt.Errorf("%s is not ready", g.name)
		}
	}
	return nil
}

// close ends all processes and removes the temporary files, but for logs that are asked for.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.store.CloseClientConnections()
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(w.dir)) // for reading only
	}
	_ = os.RemoveAll(w.dir)
}

// waitFor waits until a condition holds. It returns false if it doesn't in time.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
