package settings

import "github.com/medlarsill/medlarsill/pkg/place"

// Entry holds the settings of medlarsill-entry.
type Entry struct {
	// ID names the entry; it must be unique.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the callers' address, such as "10.0.0.1:8080".
	Listen string `json:"listen"`
	// PeerListen is the address for other processes of the system.
	PeerListen string `json:"peer_listen"`
	// MetricsListen serves /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// ObjectAPI and CloudAPI are base URLs of the platform.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// StopGraceMS is the longest time that a planned stop may take, in milliseconds.
	StopGraceMS int `json:"stop_grace_ms,omitempty"`
	// LameDuckMS is how long a stopping entry still takes new connections, in
	// milliseconds.
	LameDuckMS int `json:"lame_duck_ms,omitempty"`
	// Policy names how endpoints are chosen.
	Policy place.PolicyName `json:"policy"`
	// TLS holds the keys on the callers' side.
	TLS ServerTLS `json:"tls"`
	// PeerTLS holds the keys between processes of the system.
	PeerTLS MutualTLS `json:"peer_tls"`
	Log     Log       `json:"log"`
}

// Controller holds the settings of medlarsill-controller.
type Controller struct {
	// ID names the controller; it must be unique among controllers.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// MetricsListen serves /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// ObjectAPI and CloudAPI are base URLs of the platform.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// Pace divides the times of the capacity plan; more than 1 is for trials on a compressed clock.
	Pace float64 `json:"pace"`
	Log  Log     `json:"log"`
}

// Admin holds the settings of medlarsill-admin.
type Admin struct {
	// ID names the process; it must be unique among admin processes.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the operators' address, such as "10.0.0.1:8443".
	Listen string `json:"listen"`
	// MetricsListen serves /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// ObjectAPI and CloudAPI are base URLs of the platform.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// InForceWaitMS is how long a change waits to be in force everywhere, in milliseconds.
	InForceWaitMS int `json:"in_force_wait_ms"`
	// Operators lists who may use the interface.
	Operators []Operator `json:"operators"`
	// TLS holds the keys on the operators' side.
	TLS ServerTLS `json:"tls"`
	// PeerTLS holds the keys between processes of the system.
	PeerTLS MutualTLS `json:"peer_tls"`
	Log     Log       `json:"log"`
}

// Role tells what an operator may do.
type Role string

// The roles of operators.
const (
	// RoleRead may read everything.
	RoleRead Role = "read"
	// RoleOperate may also change the configuration and switch presets.
	RoleOperate Role = "operate"
)

// Operator is a person or script that uses the operators' interface.
type Operator struct {
	// Name stands in the audit trail.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// KeyHashes lists the SHA-256 hashes of the operator's keys, in lower-case hex.
	KeyHashes []string `json:"key_sha256"`
}

// ServerTLS names the key files of a server. Empty names mean plain TCP.
type ServerTLS struct {
	// Cert and Key are PEM files: the certificate chain and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Enabled tells whether TLS is on.
func (t ServerTLS) Enabled() bool { return t.Cert != "" || t.Key != "" }

// MutualTLS names the key files between processes. Empty names mean plain TCP.
type MutualTLS struct {
	// Cert and Key are PEM files: this process's certificate chain and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA is a PEM file of the authorities that issue the processes' certificates.
	CA string `json:"ca"`
	// ServerName is the DNS name that every process's certificate carries.
	ServerName string `json:"server_name"`
}

// Enabled tells whether TLS is on.
func (t MutualTLS) Enabled() bool { return t.Cert != "" || t.Key != "" || t.CA != "" }

// Log holds the settings of a process's log, which goes to standard error.
type Log struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Gateway holds the settings of medlarsill-gateway.
type Gateway struct {
	// ID names the instance; it must be unique.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the callers' address, such as "10.0.0.1:8080".
	Listen string `json:"listen"`
	// ReadyListen answers whether new callers should come here.
	ReadyListen string `json:"ready_listen"`
	// MetricsListen serves /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// IP and PeerPort are the address for datagrams of peers.
	IP       string `json:"ip"`
	PeerPort int    `json:"peer_port"`
	// ObjectAPI and CloudAPI are the addresses of the platform.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// Duties names the duties that the platform asks for: DutyUsage, DutyCapacity.
	Duties []string `json:"duties"`
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool `json:"first_start"`
	// MemoryMB is the memory of the instance in megabytes.
	MemoryMB int `json:"memory_mb"`
	// StopGraceS is the time of a planned stop in seconds.
	StopGraceS float64 `json:"stop_grace_s"`
	// LeaseMS is the shortest time between two holders of a duty, in milliseconds.
	LeaseMS int `json:"lease_ms"`
	// RetryShare bounds the repeated sends as a share of the requests; RetryExtra
	// repeats are allowed besides in any window, over all instances.
	RetryShare float64 `json:"retry_share"`
	RetryExtra float64 `json:"retry_extra"`
	// AllowanceOver is the share by which all instances together may exceed the
	// workspaces' limits.
	AllowanceOver float64 `json:"allowance_over"`
	// AllowanceSlack is what they may admit beyond that in any span over which a
	// limit is measured, in the limits' unit.
	AllowanceSlack float64 `json:"allowance_slack"`
	// UsageWindowS is the length of a usage window in seconds.
	UsageWindowS float64 `json:"usage_window_s"`
	Log          Log     `json:"log"`
}

// The duties that a platform may ask for.
const (
	// DutyUsage reports the workspaces' usage, DutyCapacity orders instances.
	DutyUsage    = "usage"
	DutyCapacity = "autoscale"
)
