package settings

import "github.com/medlarsill/medlarsill/pkg/place"

// Entry holds the settings of medlarsill-entry.
type Entry struct {
	// ID is the unique name of the entry.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the listen address for callers, such as "10.0.0.1:8080".
	Listen string `json:"listen"`
	// PeerListen is the listen address for other processes of the system.
	PeerListen string `json:"peer_listen"`
	// MetricsListen is the listen address for /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// ObjectAPI and CloudAPI are the base URLs of the platform's object and cloud APIs.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// StopGraceMS is the maximum duration of a planned stop, in milliseconds.
	StopGraceMS int `json:"stop_grace_ms,omitempty"`
	// LameDuckMS is how long a stopping entry still accepts new connections, in
	// milliseconds.
	LameDuckMS int `json:"lame_duck_ms,omitempty"`
	// Policy is the policy by which requests are placed on endpoints.
	Policy place.PolicyName `json:"policy"`
	// TLS configures TLS for connections from callers.
	TLS ServerTLS `json:"tls"`
	// PeerTLS configures mutual TLS between processes of the system.
	PeerTLS MutualTLS `json:"peer_tls"`
	Log     Log       `json:"log"`
}

// Controller holds the settings of medlarsill-controller.
type Controller struct {
	// ID is the name of the controller, unique among controllers.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// MetricsListen is the listen address for /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// ObjectAPI and CloudAPI are the base URLs of the platform's object and cloud APIs.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// Pace divides all durations of the capacity plan. Values above 1 are for test
	// runs on an accelerated clock.
	Pace float64 `json:"pace"`
	Log  Log     `json:"log"`
}

// Admin holds the settings of medlarsill-admin.
type Admin struct {
	// ID is the name of the process, unique among admin processes.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the listen address for operators, such as "10.0.0.1:8443".
	Listen string `json:"listen"`
	// MetricsListen is the listen address for /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// ObjectAPI and CloudAPI are the base URLs of the platform's object and cloud APIs.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// InForceWaitMS is how long the response to a change waits for the change to be
	// in force on all entries, in milliseconds.
	InForceWaitMS int `json:"in_force_wait_ms"`
	// Operators lists the operators that may use the admin API.
	Operators []Operator `json:"operators"`
	// TLS configures TLS for connections from operators.
	TLS ServerTLS `json:"tls"`
	// PeerTLS configures mutual TLS between processes of the system.
	PeerTLS MutualTLS `json:"peer_tls"`
	Log     Log       `json:"log"`
}

// Role is the access level of an operator.
type Role string

// The roles of operators.
const (
	// RoleRead may read everything.
	RoleRead Role = "read"
	// RoleOperate may also change the configuration and switch presets.
	RoleOperate Role = "operate"
)

// Operator is a person or script that uses the admin API.
type Operator struct {
	// Name identifies the operator in the audit trail.
	Name string `json:"name"`
	Role Role   `json:"role"`
	// KeyHashes lists the SHA-256 hashes of the operator's keys, in lower-case hex.
	KeyHashes []string `json:"key_sha256"`
}

// ServerTLS holds the TLS files of a server. Without them the server uses plain TCP.
type ServerTLS struct {
	// Cert and Key are the PEM files of the certificate chain and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Enabled reports whether TLS is enabled.
func (t ServerTLS) Enabled() bool { return t.Cert != "" || t.Key != "" }

// MutualTLS holds the TLS files for connections between processes. Without them
// the connections use plain TCP.
type MutualTLS struct {
	// Cert and Key are the PEM files of this process's certificate chain and its private key.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA is the PEM file of the authorities that issue the processes' certificates.
	CA string `json:"ca"`
	// ServerName is the DNS name in every process's certificate.
	ServerName string `json:"server_name"`
}

// Enabled reports whether TLS is enabled.
func (t MutualTLS) Enabled() bool { return t.Cert != "" || t.Key != "" || t.CA != "" }

// Log holds the log settings of a process. The gateway logs to standard output,
// the other programs to standard error.
type Log struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Gateway holds the settings of medlarsill-gateway.
type Gateway struct {
	// ID is the unique name of the instance.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the listen address for callers, such as "10.0.0.1:8080".
	Listen string `json:"listen"`
	// ReadyListen is the listen address of the readiness check, which reports
	// whether new callers should be routed to this instance.
	ReadyListen string `json:"ready_listen"`
	// MetricsListen is the listen address for /metrics, /healthz and /readyz.
	MetricsListen string `json:"metrics_listen"`
	// IP and PeerPort are the UDP address for datagrams from peers.
	IP       string `json:"ip"`
	PeerPort int    `json:"peer_port"`
	// ObjectAPI and CloudAPI are the addresses of the platform's object and cloud APIs.
	ObjectAPI string `json:"object_api"`
	CloudAPI  string `json:"cloud_api"`
	// Duties lists the duties that the platform requires: DutyUsage, DutyCapacity.
	Duties []string `json:"duties"`
	// FirstStart is set only for the first start of the whole system, when no
	// requests can be in progress anywhere.
	FirstStart bool `json:"first_start"`
	// MemoryMB is the memory of the instance in megabytes.
	MemoryMB int `json:"memory_mb"`
	// MaxFDs is the number of descriptors of the instance, from which the bounds on incoming
	// connections are derived; 0 means that it is unknown and that there are no bounds.
	MaxFDs int `json:"max_fds"`
	// StopGraceS is the maximum duration of a planned stop, in seconds.
	StopGraceS float64 `json:"stop_grace_s"`
	// ChangeMS is the longest time until a change of the configuration or of an endpoint must
	// be in force at all instances, in milliseconds; 0 means the shortest that is supported.
	ChangeMS int `json:"change_ms"`
	// LeaseMS is the minimum time between two holders of a duty's lease, in milliseconds.
	LeaseMS int `json:"lease_ms"`
	// RetryShare limits retries to a share of the requests. RetryExtra is the number
	// of further retries allowed in any window, across all instances.
	RetryShare float64 `json:"retry_share"`
	RetryExtra float64 `json:"retry_extra"`
	// AllowanceOver is the share by which all instances together may exceed a
	// workspace's limit.
	AllowanceOver float64 `json:"allowance_over"`
	// AllowanceSlack is the further amount that they may admit in any interval over
	// which a limit is measured, in the unit of the limit.
	AllowanceSlack float64 `json:"allowance_slack"`
	// SplitPrompts enables that long and short prompts get endpoints of their own.
	SplitPrompts bool `json:"split_prompts"`
	// FairWorkspaces makes workspaces that ask for more than their fair share give way while a
	// service lacks capacity.
	FairWorkspaces bool `json:"fair_workspaces"`
	// UsageWindowS is the length of a usage window in seconds.
	UsageWindowS float64 `json:"usage_window_s"`
	// KVFetch is true if endpoints may fetch shared prefixes of prompts from the KV caches of
	// others.
	KVFetch bool `json:"kv_fetch"`
	// KVMoves is true if running streams may be moved from endpoints that are about to stop, with their
	// KV caches.
	KVMoves bool `json:"kv_moves"`
	// EndpointSpeeds makes the instance learn how fast each endpoint is compared with its
	// service, and place requests by it.
	EndpointSpeeds bool `json:"endpoint_speeds"`
	// CapacityByPrice gives cheaper data centres more reclaimable instances, as long as reclaims are
	// rare.
	CapacityByPrice bool `json:"capacity_by_price"`
	// GossipByDataCentre sends messages to the instances of another data centre by way of one of them,
	// compressed.
	GossipByDataCentre bool `json:"gossip_by_data_centre"`
	// RolloutShare is the share of a service's requests that a bad version may get while the service
	// changes to it, and RolloutSlack the number of further ones; 0 means that versions don't
	// change by orders.
	RolloutShare float64 `json:"rollout_share"`
	RolloutSlack float64 `json:"rollout_slack"`
	// RolloutRollbackMS is the longest time in milliseconds after a number of bad answers until a bad
	// version gets nothing.
	RolloutRollbackMS int `json:"rollout_rollback_ms"`
	Log               Log `json:"log"`
}

// The duties that a platform may require.
const (
	// DutyUsage is the duty of reporting the workspaces' usage, DutyCapacity that of
	// setting the number of instances.
	DutyUsage    = "usage"
	DutyCapacity = "autoscale"
)
