package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/place"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Upper limits of settings.
const (
	// MaxInForceWaitMS is the maximum of Admin.InForceWaitMS.
	MaxInForceWaitMS = 60_000
	// MaxPace is the maximum of Controller.Pace.
	MaxPace = 1000
	// MaxStopGraceMS is the maximum of Entry.StopGraceMS.
	MaxStopGraceMS = 3_600_000
)

// The supported log formats and levels.
var (
	logFormats = []string{"json", "text"}
	logLevels  = []string{"debug", "info", "warn", "error"}
)

// Validate implements strictjson.Validator.
func (e *Entry) Validate() []strictjson.Problem {
	v := &validator{}
	v.requireSet("id", e.ID)
	v.requireSet("data_centre", e.DataCentre)
	v.checkListenAddrs(listenAddr{"listen", e.Listen}, listenAddr{"peer_listen", e.PeerListen}, listenAddr{"metrics_listen", e.MetricsListen})
	v.checkPlatform(e.ObjectAPI, e.CloudAPI)
	v.require(e.StopGraceMS >= 1 && e.StopGraceMS <= MaxStopGraceMS, "stop_grace_ms", "must be from 1 to %d milliseconds", MaxStopGraceMS)
	v.require(e.LameDuckMS >= 1 && e.LameDuckMS <= e.StopGraceMS, "lame_duck_ms", "must be from 1 to stop_grace_ms, in milliseconds")
	v.require(slices.Contains(place.PolicyNames, e.Policy), "policy", "must be one of %v, not %q", place.PolicyNames, e.Policy)
	v.checkServerTLS("tls", e.TLS)
	v.checkMutualTLS("peer_tls", e.PeerTLS)
	v.checkLog(e.Log)
	return v.problems
}

// Validate implements strictjson.Validator.
func (c *Controller) Validate() []strictjson.Problem {
	v := &validator{}
	v.requireSet("id", c.ID)
	v.requireSet("data_centre", c.DataCentre)
	v.checkListenAddrs(listenAddr{"metrics_listen", c.MetricsListen})
	v.checkPlatform(c.ObjectAPI, c.CloudAPI)
	v.require(c.Pace >= 1 && c.Pace <= MaxPace, "pace", "must be from 1 to %d", MaxPace)
	v.checkLog(c.Log)
	return v.problems
}

// Validate implements strictjson.Validator.
func (a *Admin) Validate() []strictjson.Problem {
	v := &validator{}
	v.requireSet("id", a.ID)
	v.requireSet("data_centre", a.DataCentre)
	v.checkListenAddrs(listenAddr{"listen", a.Listen}, listenAddr{"metrics_listen", a.MetricsListen})
	v.checkPlatform(a.ObjectAPI, a.CloudAPI)
	v.require(a.InForceWaitMS >= 0 && a.InForceWaitMS <= MaxInForceWaitMS, "in_force_wait_ms", "must be from 0 to %d milliseconds", MaxInForceWaitMS)
	v.checkOperators(a.Operators)
	v.checkServerTLS("tls", a.TLS)
	v.checkMutualTLS("peer_tls", a.PeerTLS)
	v.checkLog(a.Log)
	return v.problems
}

type validator struct {
	problems []strictjson.Problem
}

func (v *validator) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	v.problems = append(v.problems, strictjson.Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) requireSet(field, value string) {
	v.require(value != "", field, "must be set")
}

// listenAddr is a listen address and the settings field that holds it.
type listenAddr struct {
	field, addr string
}

// checkListenAddrs checks that each address is an IP address with a port and that
// no address is used twice.
func (v *validator) checkListenAddrs(list ...listenAddr) {
	seen := make(map[string]string)
	for _, l := range list {
		v.requireSet(l.field, l.addr)
		if l.addr == "" {
			continue
		}
		addrPort, err := netip.ParseAddrPort(l.addr)
		v.require(err == nil, l.field, "%q must be an IP address and a port, such as \"10.0.0.1:8080\"", l.addr)
		if err != nil || addrPort.Port() == 0 {
			continue // several listeners may use port 0: each gets a free port
		}
		first, taken := seen[l.addr]
		v.require(!taken, l.field, "%s is already the address of %s", l.addr, first)
		seen[l.addr] = l.field
	}
}

func (v *validator) checkPlatform(objectAPI, cloudAPI string) {
	v.checkBaseURL("object_api", objectAPI)
	v.checkBaseURL("cloud_api", cloudAPI)
}

func (v *validator) checkBaseURL(field, text string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
	v.require(ok, field, "%q must be a base URL, such as \"http://10.0.0.9:7000\"", text)
}

func (v *validator) checkOperators(list []Operator) {
	v.require(len(list) > 0, "operators", "at least one operator is needed")
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, o := range list {
		path := fmt.Sprintf("operators[%d]", i)
		v.requireSet(path+".name", o.Name)
		v.require(!names[o.Name], path+".name", "%q is given twice", o.Name)
		names[o.Name] = true
		v.require(o.Role == RoleRead || o.Role == RoleOperate, path+".role", "must be %q or %q, not %q", RoleRead, RoleOperate, o.Role)
		v.require(len(o.KeyHashes) > 0, path+".key_sha256", "at least one key is needed")
		for j, hash := range o.KeyHashes {
			field := fmt.Sprintf("%s.key_sha256[%d]", path, j)
			_, ok := config.ParseKeyHash(hash)
			v.require(ok, field, "must be a SHA-256 hash: 64 lower-case hex digits")
			v.require(!hashes[hash], field, "the hash is given twice")
			hashes[hash] = true
		}
	}
}

func (v *validator) checkServerTLS(field string, t ServerTLS) {
	v.require((t.Cert == "") == (t.Key == ""), field, "cert and key must be set together")
}

func (v *validator) checkMutualTLS(field string, t MutualTLS) {
	none := t.Cert == "" && t.Key == "" && t.CA == ""
	all := t.Cert != "" && t.Key != "" && t.CA != ""
	v.require(none || all, field, "cert, key and ca must be set together")
	v.require(none || t.ServerName != "", field+".server_name", "must be set")
}

func (v *validator) checkLog(l Log) {
	v.require(slices.Contains(logFormats, l.Format), "log.format", "must be one of %v, not %q", logFormats, l.Format)
	v.require(slices.Contains(logLevels, l.Level), "log.level", "must be one of %v, not %q", logLevels, l.Level)
}

// Validate implements strictjson.Validator.
func (s *Gateway) Validate() []strictjson.Problem {
	v := &validator{}
	v.requireSet("id", s.ID)
	v.requireSet("data_centre", s.DataCentre)
	v.checkListenAddrs(listenAddr{"listen", s.Listen}, listenAddr{"ready_listen", s.ReadyListen}, listenAddr{"metrics_listen", s.MetricsListen},
		listenAddr{"object_api", s.ObjectAPI}, listenAddr{"cloud_api", s.CloudAPI})
	_, err := netip.ParseAddr(s.IP)
	v.require(err == nil, "ip", "%q must be an IP address", s.IP)
	v.require(s.PeerPort > 0 && s.PeerPort <= maxPort, "peer_port", "must be from 1 to %d", maxPort)
	for i, duty := range s.Duties {
		v.require(duty == DutyUsage || duty == DutyCapacity, fmt.Sprintf("duties[%d]", i), "must be %q or %q, not %q", DutyUsage, DutyCapacity, duty)
	}
	v.require(s.MemoryMB > 0, "memory_mb", "must be positive")
	v.require(s.MaxFDs >= 0, "max_fds", "must not be negative")
	v.require(s.ChangeMS >= 0, "change_ms", "must not be negative")
	v.require(s.LeaseMS > 0, "lease_ms", "must be positive")
	v.require(s.RetryShare >= 0 && s.RetryExtra >= 0, "retry_share", "retry_share and retry_extra must not be negative")
	v.require(s.AllowanceOver >= 0, "allowance_over", "must not be negative")
	v.require(s.AllowanceSlack >= 0, "allowance_slack", "must not be negative")
	v.require(s.RolloutShare >= 0 && s.RolloutShare <= 1, "rollout_share", "must be from 0 to 1")
	v.require(s.RolloutSlack >= 0, "rollout_slack", "must not be negative")
	v.require(s.RolloutRollbackMS >= 0, "rollout_rollback_ms", "must not be negative")
	for _, t := range []struct {
		field   string
		seconds float64
	}{
		{"stop_grace_s", s.StopGraceS}, {"usage_window_s", s.UsageWindowS},
	} {
		v.require(t.seconds > 0, t.field, "must be a positive number of seconds")
	}
	v.checkLog(s.Log)
	return v.problems
}

// maxPort is the largest port number.
const maxPort = 65535
