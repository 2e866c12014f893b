package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarsill/medlarsill/platform/platformtest"
)

// Bounds of the small sites of the pages, which the settings and the checks use.
const (
	leaseTime   = 3000 * time.Millisecond
	thawTime    = 300 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	drainTime   = 2000 * time.Millisecond
	readyLimit  = 15 * time.Second
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root, dir string
	started   time.Time
	store     *platformtest.Store
	cloud     *cloud
	gateways  []*gateway

	mu     sync.Mutex
	record *os.File
}

func newDeployment(root, record string) (*deployment, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, started: time.Now(), store: platformtest.NewStore(), record: f}
	d.cloud, err = newCloud(d)
	return d, err
}

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started, and removes their files unless KEEP is set.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	d.store.Close()
	d.cloud.close()
	_ = d.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// gateway is one process of the project on an entry instance of its own.
type gateway struct {
	d                    *deployment
	name, zone, ip       string
	front, ready         string
	storeLink, cloudLink *link
	settings, log        string
	first                bool
	cmd                  *exec.Cmd
	ended                chan struct{}
	startedAt            time.Time
	internalPort         int
}

// addGateway adds an entry instance. Its links to the platform can be cut.
func (d *deployment) addGateway(zone string) (*gateway, error) {
	n := len(d.gateways) + 1
	g := &gateway{d: d, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, n), first: true}
	var err error
	if g.storeLink, err = newLink(d.store.Addr()); err != nil {
		return nil, err
	}
	if g.cloudLink, err = newLink(d.cloud.addr); err != nil {
		return nil, err
	}
	ports, err := freePorts(g.ip, 4)
	if err != nil {
		return nil, err
	}
	g.front, g.ready = net.JoinHostPort(g.ip, ports[0]), net.JoinHostPort(g.ip, ports[1])
	control := net.JoinHostPort(g.ip, ports[2])
	if g.internalPort, err = strconv.Atoi(ports[3]); err != nil {
		return nil, err
	}
	g.settings, g.log = filepath.Join(d.dir, g.name+".settings"), filepath.Join(d.dir, g.name+".log")
	d.gateways = append(d.gateways, g)
	return g, g.writeSettings(control)
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	return ports, nil
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// section matches a part of the template for deployments that have a field.
var section = regexp.MustCompile(`(?s)\{\{#([A-Za-z0-9.]+)\}\}.*?\{\{/[A-Za-z0-9.]+\}\}`)

// writeSettings fills in the template of the deploy file.
func (g *gateway) writeSettings(control string) error {
	values := map[string]any{
		"nodeName": g.name, "zone": g.zone, "listen.front": g.front, "listen.ready": g.ready, "listen.control": control, "ip": g.ip,
		"internalPorts.0": g.internalPort, "platform.address": g.storeLink.addr, "cloud.address": g.cloudLink.addr, "cloud.duties": []string{"usage", "autoscale"},
		"bootstrap": g.first, "limits.memoryMb": 284, "bounds.graceS": 8, "bounds.configMs": 2000, "bounds.leaseMs": leaseTime.Milliseconds(),
		"bounds.budgetRatio": 0.2, "bounds.budgetExtra": 52, "bounds.quotaOver": 0.1, "bounds.quotaSlack": 140000, "bounds.usageWindowS": 5,
	}
	template, err := os.ReadFile(filepath.Join(g.d.root, "deploy", "settings.tmpl"))
	if err != nil {
		return err
	}
	var unknown error
	template = section.ReplaceAll(template, nil) // this deployment has none of the fields of a section
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		name := placeholder.FindStringSubmatch(p)[1]
		value, ok := values[name]
		if !ok {
			unknown = fmt.Errorf("no value for %s in the template", name)
		}
		data, err := json.Marshal(value)
		unknown = errors.Join(unknown, err)
		return string(data)
	})
	return errors.Join(unknown, os.WriteFile(g.settings, []byte(text), 0o600))
}

// start starts the process as the deploy file says.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command(filepath.Join(g.d.root, "target", "medlarsill-gateway"), "--settings", g.settings)
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = g.d.root, out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startProcess(g.cmd); err != nil {
		return err
	}
	g.startedAt = time.Now()
	g.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // how it ended makes no difference
		close(ended)
	}(g.cmd, g.ended)
	g.d.note("%s started, process %d", g.name, g.cmd.Process.Pid)
	return nil
}

// starts carries the commands that startProcess starts.
var starts = make(chan startRequest)

type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

// startProcess starts a process from a thread that lives as long as this process: the kernel ends the
// processes with the thread that started them, so none outlives this one, however it ends.
func startProcess(cmd *exec.Cmd) error {
	startOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for r := range starts {
				r.done <- r.cmd.Start()
			}
		}()
	})
	r := startRequest{cmd: cmd, done: make(chan error, 1)}
	starts <- r
	return <-r.done
}

var startOnce sync.Once

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil || g.ended == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.ended
}

// restart starts the process again, as the platform does after its end.
func (g *gateway) restart() error {
	if g.first {
		g.first = false
		text, err := os.ReadFile(g.settings)
		if err != nil {
			return err
		}
		changed := strings.Replace(string(text), `"first_start": true`, `"first_start": false`, 1)
		if err := os.WriteFile(g.settings, []byte(changed), 0o600); err != nil {
			return err
		}
	}
	return g.start()
}

// startAll starts all gateways and waits until the platform's balancer would use them.
func (d *deployment) startAll() error {
	for _, g := range d.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until the process says that it is ready.
func (g *gateway) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			g.d.note("%s ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v; see %s", g.name, readyLimit, g.log)
}
