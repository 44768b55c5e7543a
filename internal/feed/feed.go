// Package feed holds the messages by which the schedulers of an availability
// zone tell its entries where the upstreams are. An entry calls Method on every
// scheduler of its zone and merges the shards that each owns.
package feed

import "skylarkport/internal/job"

// Method is the jsonrpc2 method of a scheduler that answers Request with Reply.
const Method = "routes.get"

// Version orders the states of one shard's list. A higher epoch goes first.
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

// Have is the version of a shard's list that the caller holds.
type Have struct {
	Shard   string  `json:"shard"`
	Version Version `json:"version"`
}

// Request names what the caller holds already.
type Request struct {
	Have []Have `json:"have"`
}

// Reply holds the lists that are newer than what the caller holds.
type Reply struct {
	Shards []Shard `json:"shards"`
}

// Shard is the list of one shard, whole.
type Shard struct {
	Shard     string     `json:"shard"`
	Version   Version    `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is a run of a service that can take requests.
type Upstream struct {
	Service string    `json:"service"` // the job's id
	Tenant  string    `json:"tenant"`
	Run     job.RunID `json:"run"`
	Worker  string    `json:"worker"`
	Zone    string    `json:"zone"`
	BaseURL string    `json:"base_url"` // requests go to BaseURL + path
	Leaving bool      `json:"leaving,omitempty"`
	Slots   int       `json:"slots"` // of the worker, over all its upstreams and all entries
	Conns   int       `json:"conns"` // of the worker, over all its upstreams and all entries
}
