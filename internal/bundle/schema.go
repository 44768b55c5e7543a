// Package bundle holds the versioned configuration that operators propose,
// review, sign off and accept, and that governs every availability zone.
package bundle

import (
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Bundle is one version of the whole configuration.
type Bundle struct {
	Version          uint64         `json:"version"` // one above Base
	Base             uint64         `json:"base"`    // version that the author started from
	Author           string         `json:"author"`
	Note             string         `json:"note"`
	Organisations    []Organisation `json:"tenants"`
	Services         []Service      `json:"services"`
	Placement        Placement      `json:"placement"`
	Reviewers        []ReviewerKey  `json:"reviewers"` // who may sign off the next bundle
	RequiredSignOffs int            `json:"sign_offs"` // required to accept the next bundle, by reviewers other than its author
}

// ReviewerKey is a reviewer's ed25519 public key.
type ReviewerKey struct {
	Name   string `json:"name"`
	Public []byte `json:"public"` // 32 bytes
}

// Organisation is an organisation that submits work, with its weight and quota.
type Organisation struct {
	Name   string          `json:"name"`
	Weight int             `json:"weight"` // relative share of a contended entry, 1 to 1000
	Quota  resource.Vector `json:"quota"`  // over all zones; zero for no quota
}

// Service holds a service's latency target and how its requests are forwarded.
type Service struct {
	Name             string       `json:"name"`    // equals the id of the service's job
	LatencyTarget    job.Duration `json:"target"`  // latency target
	Timeout          job.Duration `json:"timeout"` // of requests whose caller sets none
	Class            job.Class    `json:"class"`   // of requests whose caller sets none
	MaxBodyBytes     int64        `json:"max_body_bytes"`
	MaxResponseBytes int64        `json:"max_answer_bytes"`
	Idempotent       []Route      `json:"idempotent"`     // besides GET, HEAD and OPTIONS
	NotIdempotent    []Route      `json:"not_idempotent"` // takes precedence over Idempotent
	RetryRatio       float64      `json:"retry_ratio"`    // retries per request, on average
	Hedge            bool         `json:"hedge"`          // whether idempotent lookups may be hedged
}

// Route matches requests by method and path prefix.
type Route struct {
	Method string `json:"method"` // empty for any method
	Prefix string `json:"prefix"`
}

// Placement holds the weights and thresholds of the placement policy.
type Placement struct {
	TailLatencyWeight float64 `json:"tail_weight"`       // weight of services' tail latency
	ThroughputWeight  float64 `json:"throughput_weight"` // weight of completed batch work
	EvictionWeight    float64 `json:"eviction_weight"`   // weight of work that is evicted

	UsagePercentile float64 `json:"usage_percentile"` // percentile of a task's observed usage that its commitment is based on
	CPUMargin       float64 `json:"processor_margin"` // fraction added on top
	MemoryMargin    float64 `json:"memory_margin"`    // fraction added on top

	SlowdownThreshold   float64      `json:"slowdown_threshold"` // factor on a service's baseline latency that gives its target if its job declares none
	Window              job.Duration `json:"window"`             // age up to which measurements and failures count
	Cooldown            job.Duration `json:"cooldown"`           // minimum time between interference responses on one worker
	MaxEvictionsPerTask int          `json:"evictions_per_job"`  // limit per task, for evictions because of interference
	MaxEvictionsPerHour int          `json:"evictions_per_hour"` // limit per shard and hour, for evictions because of interference

	QuarantineFailedJobs  int          `json:"quarantine_failures"` // distinct jobs whose failures within Window put a worker in quarantine
	QuarantineDuration    job.Duration `json:"quarantine_for"`      // how long a worker is quarantined
	MaxQuarantineFraction float64      `json:"quarantine_fraction"` // largest fraction of a shard's workers in quarantine
}
