package shard

import (
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/placement"
	"skylarkport/internal/quarantine"
)

// Config holds the settings of a shard's owner.
type Config struct {
	Shard            string // zone + "/" + number
	Zone             string
	Owner            string        // id of this process; a restart changes it
	LeaseDuration    time.Duration // length of a worker's lease while the tables answer
	LeaseBound       time.Duration // length of a lease bound, the recorded limit of every lease
	ExchangeInterval time.Duration // between exchanges with a worker
	CycleInterval    time.Duration // between scheduling cycles
	CommitWindow     time.Duration // group commit window
	// Concurrency limits the exchanges with workers that are in progress at once; 0
	// means DefaultConcurrency.
	Concurrency int
	// SnapshotRows is the number of durable proposals after which a new
	// snapshot is stored; 0 means DefaultSnapshotRows.
	SnapshotRows uint64
}

// Defaults of Config.
const (
	DefaultConcurrency  = 32
	DefaultSnapshotRows = 500
)

const (
	maxMissedExchanges = 3 // exchange intervals without a reply until a worker counts as unreachable
	backoffMin         = 2 * time.Second
	backoffMax         = 5 * time.Minute
	inboxPageSize      = 100
	maxEvents          = 4096 // kept for explain
)

// Platform gives an owner access to the platform's services.
type Platform struct {
	Tables  contract.Tables
	Objects contract.Objects
	Workers contract.Workers
	// Fleet returns the shard's workers as the platform lists them.
	Fleet func() []contract.Instance
	// OtherShardFor returns another shard with a live worker that could hold a
	// task of spec, if there is one. It may be nil.
	OtherShardFor func(spec *job.Spec) (shard string, ok bool)
	// Bundle returns the configuration bundle in force, or nil.
	Bundle func() *bundle.Bundle
}

// Policy decides which tasks run where. NewPolicy returns the implementation by
// placement.Engine.
type Policy interface {
	Configure(cfg bundle.Placement)
	SetWorkerCount(n int)
	Observe(r placement.Report)
	RecordEnd(e placement.RunEnd)
	RecordApplied(now time.Duration, p *placement.Plan)
	Forget(worker string)
	Decide(s *placement.Snapshot) *placement.Plan
	// Quarantined returns the workers that get no new work because runs
	// failed on them.
	Quarantined() map[string]bool
}

// enginePolicy adapts the placement engine to Policy.
type enginePolicy struct{ *placement.Engine }

// NewPolicy returns the placement policy with the settings of cfg.
func NewPolicy(cfg bundle.Placement) Policy { return enginePolicy{placement.New(cfg)} }

// Decide implements Policy.
func (p enginePolicy) Decide(s *placement.Snapshot) *placement.Plan {
	return placement.Decide(s, p.View())
}

// Quarantined implements Policy.
func (p enginePolicy) Quarantined() map[string]bool {
	out := map[string]bool{}
	for id, s := range p.View().Quarantine {
		out[id] = s != quarantine.Clear
	}
	return out
}

// Message is a row of a shard's inbox.
type Message struct {
	Admit  *AdmitRecord `json:"admit,omitempty"`
	Cancel []string     `json:"cancel,omitempty"` // jobs
}

// Event is a decision or an observed change with its reason, kept for explain.
type Event struct {
	At     time.Duration
	Task   job.TaskID
	Run    job.RunID
	Worker string
	Step   string
	Stage  string
	Detail string
}
