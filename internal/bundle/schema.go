// Package bundle holds the versioned configuration that operators propose,
// review, sign off and accept, and that governs every availability zone.
package bundle

import (
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// Bundle is the whole configuration in force.
type Bundle struct {
	Version   uint64    `json:"version"` // given at acceptance, one above Base
	Base      uint64    `json:"base"`    // version that the author started from
	Author    string    `json:"author"`
	Note      string    `json:"note"`
	Tenants   []Tenant  `json:"tenants"`
	Services  []Service `json:"services"`
	Placement Placement `json:"placement"`
	Reviewers []Key     `json:"reviewers"` // who may sign off the next bundle
	SignOffs  int       `json:"sign_offs"` // needed, by others than the author
}

// Key is a reviewer's ed25519 public key.
type Key struct {
	Name   string `json:"name"`
	Public []byte `json:"public"` // 32 bytes
}

// Tenant is a customer with its share and quota.
type Tenant struct {
	Name   string          `json:"name"`
	Weight int             `json:"weight"` // share of a contended entry, 1 to 1000
	Quota  resource.Vector `json:"quota"`  // over all zones; zero for no limit
}

// Service is the contract of a service towards its callers.
type Service struct {
	Name           string       `json:"name"` // equals the id of the service's job
	Target         job.Duration `json:"target"`
	Timeout        job.Duration `json:"timeout"` // where the caller names none
	Class          job.Class    `json:"class"`   // where the caller names none
	MaxBodyBytes   int64        `json:"max_body_bytes"`
	MaxAnswerBytes int64        `json:"max_answer_bytes"`
	Idempotent     []Route      `json:"idempotent"`     // besides GET, HEAD and OPTIONS
	NotIdempotent  []Route      `json:"not_idempotent"` // goes before Idempotent
	RetryRatio     float64      `json:"retry_ratio"`    // retries per request, at most
	Hedge          bool         `json:"hedge"`          // hedge idempotent lookups
}

// Route matches requests by method and path prefix.
type Route struct {
	Method string `json:"method"` // empty for any
	Prefix string `json:"prefix"`
}

// Placement holds the weights and thresholds of the placement policy.
type Placement struct {
	TailWeight       float64 `json:"tail_weight"`       // latency of services
	ThroughputWeight float64 `json:"throughput_weight"` // batch work done
	EvictionWeight   float64 `json:"eviction_weight"`   // work moved

	UsagePercentile float64 `json:"usage_percentile"` // of observed use that is committed
	ProcessorMargin float64 `json:"processor_margin"` // fraction added on top
	MemoryMargin    float64 `json:"memory_margin"`    // fraction added on top

	SlowdownThreshold float64      `json:"slowdown_threshold"` // latency over its quiet figure that calls for a step
	Window            job.Duration `json:"window"`             // of observations that one step rests on
	Cooldown          job.Duration `json:"cooldown"`           // between steps on one worker
	EvictionsPerJob   int          `json:"evictions_per_job"`  // per task, by interference
	EvictionsPerHour  int          `json:"evictions_per_hour"` // per shard, by interference

	QuarantineFailures int          `json:"quarantine_failures"` // distinct jobs that failed within Window
	QuarantineFor      job.Duration `json:"quarantine_for"`
	QuarantineFraction float64      `json:"quarantine_fraction"` // of a shard's workers, at most
}
