// Package settings reads and checks the JSON settings of the programs. Every
// fault is reported with a numbered code, the file, the field's path and what
// was expected.
package settings

import "skylarkport/internal/job"

// Common is what every daemon's settings hold.
type Common struct {
	Deployment string       `json:"deployment"` // peers of another deployment are refused
	Instance   string       `json:"instance"`   // unique id
	Zone       string       `json:"zone"`       // one of Zones
	Zones      []string     `json:"zones"`      // every availability zone of the deployment
	Platform   Platform     `json:"platform"`
	PeerListen string       `json:"peer_listen"`  // IP:port for the system's own processes
	TLS        TLS          `json:"tls,omitzero"` // absent only where every address is loopback
	Heartbeat  job.Duration `json:"heartbeat"`    // between heartbeats in a zone
	Drain      job.Duration `json:"drain"`        // limit of a graceful shutdown
	Log        Log          `json:"log"`
	BundleFile string       `json:"bundle_file,omitempty"` // first bundle of a new deployment
	// PeerSeeds are peers to ask while the platform's list is away, IP:port.
	PeerSeeds []string `json:"peer_seeds,omitempty"`
}

// Platform says where the platform's services are.
type Platform struct {
	Tables    string       `json:"tables"`    // URL by IP number
	Objects   string       `json:"objects"`   // URL by IP number
	Instances string       `json:"instances"` // URL by IP number
	Timeout   job.Duration `json:"timeout"`   // of one call
	// HTTP2 says that the services and the workers speak HTTP/2 in clear
	// without an upgrade, which compresses the headers of small calls.
	HTTP2 bool `json:"http2,omitempty"`
}

// TLS names the files of the keys. They are read again when they change.
type TLS struct {
	CA   string `json:"ca"`   // PEM, authorities that may sign peers
	Cert string `json:"cert"` // PEM
	Key  string `json:"key"`  // PEM
}

// Log says how to log.
type Log struct {
	Format string `json:"format"` // "json" or "text"
	Level  string `json:"level"`  // "debug", "info", "warn" or "error"
}

// Entry is the settings of skylark-entry.
type Entry struct {
	Common
	Listen         string `json:"listen"` // IP:port for callers
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxInFlight    int    `json:"max_in_flight"` // requests, queued ones included
	KeyRanges      int    `json:"key_ranges"`    // the same on every instance
}

// Scheduler is the settings of skylark-scheduler.
type Scheduler struct {
	Common
	OperatorListen string       `json:"operator_listen"` // IP:port of the operator API
	Shards         int          `json:"shards"`          // per zone, the same on every instance
	Grant          job.Duration `json:"grant"`           // a worker's short lease
	Promise        Promise      `json:"promise"`         // long leases in the journal
	Exchange       job.Duration `json:"exchange"`        // between exchanges with a worker
	Cycle          job.Duration `json:"cycle"`           // between scheduling cycles
	Commit         job.Duration `json:"commit"`          // group commit window
}

// Promise holds the long lease of each class.
type Promise struct {
	Latency job.Duration `json:"latency"`
	Batch   job.Duration `json:"batch"`
}
