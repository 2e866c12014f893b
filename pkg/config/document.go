// Package config defines the shared configuration: the document that operators
// edit and that is stored in the platform's object store, with exactly one preset
// in force.
package config

// Key is the object store key of the configuration envelope.
const Key = "config/current"

// Envelope is the value stored under Key. It is replaced as a whole by one
// conditional update, so the document and the preset in force change atomically.
type Envelope struct {
	// Revision increases by one with each accepted change.
	Revision uint64 `json:"revision"`
	// WriteID is unique to the write. If the response to a write is lost, the
	// writer compares it to find out whether the write took effect.
	WriteID string `json:"write_id"`
	// Preset is the name of the preset in force.
	Preset string `json:"preset"`
	// RecentWrites lists the newest writes, oldest first and including this one,
	// at most MaxRecentWrites. With it the outcome of a write whose response was
	// lost can be determined even after later changes.
	RecentWrites []Write `json:"recent_writes,omitempty"`
	// Document is the configuration itself.
	Document Document `json:"document"`
}

// MaxRecentWrites is the maximum length of Envelope.RecentWrites.
const MaxRecentWrites = 64

// Write identifies one accepted change.
type Write struct {
	Revision uint64 `json:"revision"`
	WriteID  string `json:"write_id"`
}

// Document is the configuration that operators edit. A decoded or compiled
// document must not be modified; modify a Clone instead.
type Document struct {
	// Organisation is the name of the organisation that runs the system.
	Organisation string `json:"organisation"`
	// DataCentres lists all data centres, including those that no workspace may use.
	DataCentres []DataCentre `json:"data_centres"`
	// Classes lists the machine classes with their prices.
	Classes []MachineClass `json:"machine_classes"`
	// Services lists the model services and plain HTTP services.
	Services []Service `json:"services"`
	// Workspaces lists the groups of callers.
	Workspaces []Workspace `json:"workspaces"`
	// CallStyles maps other request formats to the canonical request.
	CallStyles []CallStyle `json:"call_styles,omitempty"`
	// Presets lists the presets that operators switch between.
	Presets []Preset `json:"presets"`
	// InitialPreset is the preset in force after the first apply.
	InitialPreset string `json:"initial_preset"`

	// index holds the precomputed lookups; nil until Compile is called.
	index *index
}

// DataCentre is a failure domain inside a region.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// MachineClass is an instance type offered by the platform.
type MachineClass struct {
	Name string `json:"name"`
	// Accelerators is the number of accelerators per instance; 0 for plain services.
	Accelerators int `json:"accelerators"`
	// Prices holds the price in each data centre that offers the class.
	Prices []Price `json:"prices"`
}

// Price is the price of an instance of a class in one data centre.
type Price struct {
	DataCentre string `json:"data_centre"`
	// OnDemand is the price of an on-demand instance, in currency units per hour.
	OnDemand float64 `json:"on_demand_per_hour"`
	// Reclaimable is the price of a reclaimable instance, in currency units per hour.
	Reclaimable float64 `json:"reclaimable_per_hour"`
}

// ServiceKind is the type of a service: model or plain HTTP.
type ServiceKind string

// The kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a model service or a plain HTTP service that the system routes requests to.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Models lists the model names that callers use; model services only.
	Models []string `json:"models,omitempty"`
	// Class is the machine class its instances run on.
	Class string `json:"machine_class"`
	// ChecksFencing reports whether its endpoints reject orders with a stale fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// NonIdempotent lists the calls that must run at most once; plain services only.
	NonIdempotent []Call `json:"non_idempotent,omitempty"`
	// DeadlineMS is the time limit of a request, in milliseconds; 0 means 60,000.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// FirstTokenTargetMS is the p95 target for the time to first token, in milliseconds.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty"`
	// BetweenTokensTargetMS is the p95 target for the time between tokens, in milliseconds.
	BetweenTokensTargetMS int `json:"between_tokens_target_ms,omitempty"`
	// Priority orders queued requests, 0 (lowest) to 9.
	Priority int `json:"priority"`
	// ModelPriorities overrides Priority for individual models.
	ModelPriorities []ModelPriority `json:"model_priorities,omitempty"`
	// BatchLimit is the number of requests that one endpoint runs concurrently.
	BatchLimit int `json:"batch_limit"`
}

// ModelPriority is the priority of one model of a service.
type ModelPriority struct {
	Model string `json:"model"`
	// Priority orders queued requests, 0 (lowest) to 9.
	Priority int `json:"priority"`
}

// Call matches calls of a plain service by method and path prefix.
type Call struct {
	Method string `json:"method"`
	// PathPrefix is matched against the path relative to the service, such as "/holds".
	PathPrefix string `json:"path_prefix"`
}

// Workspace is a group of callers that share keys, limits and allowed data centres.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes lists the SHA-256 hashes of its keys, in lower-case hex.
	KeyHashes []string `json:"key_sha256"`
	// DataCentres lists the data centres in which its requests may run.
	DataCentres []string `json:"data_centres"`
	// Services lists the services it may call.
	Services []string `json:"services"`
	// Weight is its fair share relative to other workspaces; at least 1.
	Weight int `json:"weight"`
	// MaxInFlight limits its in-flight requests across all entries.
	MaxInFlight int `json:"max_in_flight"`
}

// CallStyle maps the path and JSON fields of another API to the canonical request.
type CallStyle struct {
	Name string `json:"name"`
	// Path is the exact path that callers use, such as "/ask".
	Path string `json:"path"`
	// KeyHeader is the header that holds the key instead of Authorization.
	KeyHeader string `json:"key_header,omitempty"`
	// Model is the default if the body names no model.
	Model string `json:"model,omitempty"`
	// PromptField is the JSON field that holds the prompt, such as "question".
	PromptField string `json:"prompt_field,omitempty"`
	// AnswerField is the JSON field of the response text, such as "reply".
	AnswerField string `json:"answer_field,omitempty"`
	// Service and ServicePath route the call to a plain service instead of a model.
	Service     string `json:"service,omitempty"`
	ServicePath string `json:"service_path,omitempty"`
	// IdempotencyHeader is the header that holds the idempotency key.
	IdempotencyHeader string `json:"idempotency_header,omitempty"`
}

// Preset is a named set of policy values. Exactly one is in force at a time.
type Preset struct {
	Name string `json:"name"`
	// CostWeight is the weight of price in placement, relative to the other weights.
	CostWeight float64 `json:"cost_weight"`
	// RecomputeWeight is the weight of tokens that would have to be recomputed.
	RecomputeWeight float64 `json:"recompute_weight"`
	// LatencyWeight is the weight of the expected queueing time.
	LatencyWeight float64 `json:"latency_weight"`
	// ClosedDataCentres receive no new requests while the preset is in force.
	ClosedDataCentres []string `json:"closed_data_centres,omitempty"`
	// Capacity sets the instance limits of each service.
	Capacity []Capacity `json:"capacity"`
}

// Capacity sets the minimum and maximum number of instances of a service.
type Capacity struct {
	Service string `json:"service"`
	Min     int    `json:"min"`
	Max     int    `json:"max"`
	// ReclaimableShare is the maximum share of instances that may be reclaimable, 0 to 1.
	ReclaimableShare float64 `json:"reclaimable_share"`
}
