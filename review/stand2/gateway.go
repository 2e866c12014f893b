package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// The paths of the program, of the template of its settings, both in the repository, and of the last
// digits of the ports that every instance has.
const (
	gatewayProgram = "target/medlarsill-gateway"
	settingsFile   = "deploy/settings.tmpl"
	frontPort      = 8221
	readyPort      = 8224
	controlPort    = 8229
	peerPort       = 7600
)

// gateway is one gateway process on a loopback address of its own.
type gateway struct {
	name, zone, ip, dir string
	world               *world

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// wanted is true once the script has ended the process itself.
	wanted bool
}

// addr returns the address of a port of the instance.
func (g *gateway) addr(port int) string { return fmt.Sprintf("%s:%d", g.ip, port) }

// values returns the fields of the platform's settings file that the template names.
func (g *gateway) values(first bool) map[string]any {
	return map[string]any{
		"nodeName": g.name, "zone": g.zone, "ip": g.ip, "bootstrap": first, "internalPorts.0": peerPort,
		"listen.front": g.addr(frontPort), "listen.ready": g.addr(readyPort), "listen.control": g.addr(controlPort),
		"platform.address": g.world.storeAddr(g), "cloud.address": g.world.cloud.Addr(), "cloud.duties": []string{"usage", "autoscale"},
		"limits.memoryMb": 284, "bounds.graceS": 8, "bounds.configMs": 2000, "bounds.leaseMs": 3000,
		"bounds.budgetRatio": 0.2, "bounds.budgetExtra": 52, "bounds.quotaOver": 0.1, "bounds.quotaSlack": 140000, "bounds.usageWindowS": 5,
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// settings fills the template in.
func (g *gateway) settings(first bool) (string, error) {
	text, err := os.ReadFile(settingsFile)
	if err != nil {
		return "", err
	}
	values := g.values(first)
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		v, ok := values[placeholder.FindStringSubmatch(m)[1]]
		if !ok {
			missing = fmt.Errorf("the template names %s, which the script lacks", m)
		}
		data, _ := json.Marshal(v) // numbers, texts and lists of them
		return string(data)
	})
	return out, missing
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(first bool) error {
	text, err := g.settings(first)
	if err != nil {
		return err
	}
	file := filepath.Join(g.dir, g.name+".json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(gatewayProgram, "--settings", file, "--set=max_fds=4200", "--set=rollout_share=", "--set=rollout_slack=", "--set=rollout_rollback_ms=")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended, g.wanted = cmd, ended, false
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		g.mu.Lock()
		if !g.wanted {
			g.world.record.line("gateway %s ended by itself: %v", g.name, err)
		}
		g.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		g.wanted = true
	}
	_ = g.cmd.Process.Signal(s) // it may have ended already
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, ended := g.cmd, g.ended
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-ended
}

// ready reports whether the process says that it is ready.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.addr(readyPort) + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
