// Package settings reads and validates the JSON settings of the programs. Every
// error is reported with a numeric code, the file, the field's path and what was
// expected.
package settings

import (
	"skylarkport/internal/budget"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Common holds the settings that skylark-entry and skylark-scheduler share.
type Common struct {
	Deployment        string       `json:"deployment"` // connections from other deployments are rejected
	Instance          string       `json:"instance"`   // unique id
	Zone              string       `json:"zone"`       // one of Zones
	Zones             []string     `json:"zones"`      // every availability zone of the deployment
	Platform          Platform     `json:"platform"`
	PeerListen        string       `json:"peer_listen"`  // IP:port for other processes of the deployment
	TLS               TLS          `json:"tls,omitzero"` // may be absent only if every address is loopback
	HeartbeatInterval job.Duration `json:"heartbeat"`    // interval between heartbeats in a zone
	DrainTimeout      job.Duration `json:"drain"`        // limit of a graceful shutdown
	Log               Log          `json:"log"`
	Machine           Resources    `json:"machine,omitzero"`
	BundleFile        string       `json:"bundle_file,omitempty"` // first bundle of a new deployment
	// PeerSeeds are IP:port addresses of peers to contact while the platform's
	// instance list is unavailable.
	PeerSeeds []string `json:"peer_seeds,omitempty"`
}

// Resources holds the memory and the descriptors that a process may use. Zero means those of the whole machine, and
// the process's limit of descriptors.
type Resources struct {
	MemoryMB int `json:"memory_mb,omitempty"` // MiB
	MaxFDs   int `json:"max_fds,omitempty"`   // open descriptors, including the 200 that are kept for files
}

// Size returns the machine to divide among the clients of the process.
func (r Resources) Size() budget.Machine {
	return budget.Machine{Memory: int64(r.MemoryMB) << 20, Descriptors: r.MaxFDs}.OrDefault()
}

// Least resources with which a process can serve its clients.
const (
	minMemoryMB = 32
	minFDs      = 256
)

func (r Resources) check(c *checker) {
	if r.MemoryMB != 0 && r.MemoryMB < minMemoryMB {
		c.add(result.SettingsRange, "machine.memory_mb", "at least %d, or 0", minMemoryMB)
	}
	if r.MaxFDs != 0 && r.MaxFDs < minFDs {
		c.add(result.SettingsRange, "machine.max_fds", "at least %d, or 0", minFDs)
	}
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Tables    string       `json:"tables"`    // URL with an IP address
	Objects   string       `json:"objects"`   // URL with an IP address
	Instances string       `json:"instances"` // URL with an IP address
	Timeout   job.Duration `json:"timeout"`   // of one call
	// HTTP2 selects HTTP/2 without TLS and with prior knowledge for calls to the
	// services and the workers. It compresses headers, which matters for small
	// calls.
	HTTP2 bool `json:"http2,omitempty"`
}

// TLS names the files with keys and certificates, which are reloaded when they
// change.
type TLS struct {
	CA   string `json:"ca"`   // PEM, certificate authorities of the peers
	Cert string `json:"cert"` // PEM, certificate of this process
	Key  string `json:"key"`  // PEM, private key of Cert
}

// Log configures logging.
type Log struct {
	Format string `json:"format"` // "json" or "text"
	Level  string `json:"level"`  // "debug", "info", "warn" or "error"
}

// Entry holds the settings of skylark-entry.
type Entry struct {
	Common
	Listen         string `json:"listen"` // IP:port for callers
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxInFlight    int    `json:"max_in_flight"` // concurrent requests, including queued ones
	KeyRanges      int    `json:"key_ranges"`    // number of ranges of idempotency keys; the same on every instance
}

// Scheduler holds the settings of skylark-scheduler.
type Scheduler struct {
	Common
	OperatorListen   string       `json:"operator_listen"` // IP:port of the operator API
	Shards           int          `json:"shards"`          // shards per zone; the same on every instance
	ShortLease       job.Duration `json:"grant"`           // duration of a worker's short lease
	LongLeases       LongLeases   `json:"promise"`         // long leases recorded in the journal
	ExchangeInterval job.Duration `json:"exchange"`        // interval between exchanges with a worker
	CycleInterval    job.Duration `json:"cycle"`           // interval between scheduling cycles
	CommitWindow     job.Duration `json:"commit"`          // group commit window of the journal
}

// LongLeases holds the duration of the long lease of each class of work.
type LongLeases struct {
	Latency job.Duration `json:"latency"`
	Batch   job.Duration `json:"batch"`
}
