package shard

import (
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/quarantine"
)

// Config is what an owner needs to know of its shard.
type Config struct {
	Shard    string // zone + "/" + number
	Zone     string
	Owner    string        // this process, different after every restart
	Grant    time.Duration // usual lease of a worker
	Promise  time.Duration // longest lease of a worker
	Exchange time.Duration // between exchanges with a worker
	Cycle    time.Duration // between scheduling cycles
	Commit   time.Duration // group commit window
	// Concurrency is how many exchanges are under way at once; 0 for
	// DefaultConcurrency.
	Concurrency int
	// SnapshotRows is how many journal rows are kept beyond a snapshot; 0
	// for DefaultSnapshotRows.
	SnapshotRows uint64
}

// Defaults of Config.
const (
	DefaultConcurrency  = 32
	DefaultSnapshotRows = 500
)

const (
	missedExchanges = 3 // after which a worker counts as unreachable
	backoffMin      = 2 * time.Second
	backoffMax      = 5 * time.Minute
	inboxPage       = 100
	maxEvents       = 4096
)

// Platform is what an owner needs of the outside.
type Platform struct {
	Tables  contract.Tables
	Objects contract.Objects
	Workers contract.Workers
	// Fleet returns the shard's workers by the platform's list.
	Fleet func() []contract.Instance
	// Elsewhere names another shard with a live worker that could hold a
	// task of spec, where there is one. It may be nil.
	Elsewhere func(spec *job.Spec) (shard string, ok bool)
	// Bundle returns the configuration in force, or nil.
	Bundle func() *bundle.Bundle
}

// Policy decides; placement.Engine with placement.Decide is the one in use.
type Policy interface {
	Configure(cfg bundle.Placement)
	Fleet(n int)
	Observe(r placement.Report)
	Ended(e placement.End)
	Applied(now time.Duration, p *placement.Plan)
	Forget(worker string)
	Decide(s *placement.Snapshot) *placement.Plan
	// Quarantined returns the workers that take no new work for their failures.
	Quarantined() map[string]bool
}

// enginePolicy is the placement engine as a Policy.
type enginePolicy struct{ *placement.Engine }

// NewPolicy returns the placement policy with the settings of cfg.
func NewPolicy(cfg bundle.Placement) Policy { return enginePolicy{placement.New(cfg)} }

// Decide implements Policy.
func (p enginePolicy) Decide(s *placement.Snapshot) *placement.Plan {
	return placement.Decide(s, p.Freeze())
}

// Quarantined implements Policy.
func (p enginePolicy) Quarantined() map[string]bool {
	out := map[string]bool{}
	for id, s := range p.Freeze().Quarantine {
		out[id] = s != quarantine.Clear
	}
	return out
}

// Message is a row of a shard's inbox.
type Message struct {
	Admit  *AdmitRecord `json:"admit,omitempty"`
	Cancel []string     `json:"cancel,omitempty"` // jobs
}

// Event is a decision or fact with its reason, kept for explain.
type Event struct {
	At     time.Duration
	Task   job.TaskID
	Run    job.RunID
	Worker string
	Step   string
	Stage  string
	Detail string
}
