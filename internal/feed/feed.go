// Package feed defines the messages with which the entries of an availability zone
// fetch the lists of upstreams from its schedulers. An entry periodically calls
// Method on every scheduler of its zone. Each scheduler replies with the lists of
// the shards that it owns, and the entry merges them into its routing table.
package feed

import "skylarkport/internal/job"

// Method is the JSON-RPC method of a scheduler that takes a Request and returns a
// Reply.
const Method = "routes.get"

// Version orders the versions of one shard's list: first by the epoch of the shard's
// owner, then by the number of the change within the epoch.
type Version struct {
	Epoch  uint64 `json:"epoch"`
	Change uint64 `json:"change"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Change < w.Change
}

// KnownVersion is the version of a shard's list that the caller has.
type KnownVersion struct {
	Shard   string  `json:"shard"`
	Version Version `json:"version"`
}

// Request lists the versions that the caller has, so that the reply need not repeat
// them.
type Request struct {
	KnownVersions []KnownVersion `json:"have"`
}

// Reply contains the lists that are newer than those of the caller.
type Reply struct {
	Shards []ShardList `json:"shards"`
}

// ShardList is the complete list of the upstreams of one shard.
type ShardList struct {
	Shard     string     `json:"shard"`
	Version   Version    `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is a run of a service to which requests can be sent.
type Upstream struct {
	Service      string    `json:"service"` // the job's id
	Organisation string    `json:"tenant"`
	Run          job.RunID `json:"run"`
	Worker       string    `json:"worker"`
	Zone         string    `json:"zone"`
	BaseURL      string    `json:"base_url"`          // the path of a request is appended
	Leaving      bool      `json:"leaving,omitempty"` // no new requests may be sent
	Slots        int       `json:"slots"`             // maximum of concurrent requests at the worker, over all its upstreams and all entries
	Conns        int       `json:"conns"`             // maximum of connections to the worker, over all its upstreams and all entries
}
