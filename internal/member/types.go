// Package member maintains each process's view of its peers: the entry and
// scheduler processes of all instances. It learns of peers from the platform's list
// of instances, which lags, and from the peers themselves. Their states come from
// heartbeats: every process exchanges them with all peers of its zone and with a
// few of each other zone, which report the states of the rest of their zone.
package member

import (
	"context"
	"encoding/json"
)

// Program names one of the two programs that every entry instance runs.
type Program string

// The programs.
const (
	Entry     Program = "entry"
	Scheduler Program = "scheduler"
)

// State is the state of a peer as this process sees it.
type State string

// The states of a peer.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // heartbeats are missing, the peer flaps, or it receives none from this process
	Dead    State = "dead"
	Leaving State = "leaving" // the peer or the platform's list announced that it is about to stop
)

// Peer describes a process of the deployment.
type Peer struct {
	ID          string  `json:"id"` // instance id + "/" + program
	Instance    string  `json:"instance"`
	Program     Program `json:"program"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`     // IP:port of its peer listener
	Incarnation string  `json:"incarnation"` // random id of this start of the process
	State       State   `json:"state"`
}

// View is an immutable snapshot of the peers. It does not contain this process.
type View struct {
	Version uint64
	Peers   []Peer // ascending by ID
}

// Handler serves a call from a peer. Its result is encoded as JSON.
type Handler func(ctx context.Context, from Peer, params json.RawMessage) (any, error)

// Group is the interface through which other packages use the membership. All
// methods are safe for concurrent use, but Handle, Attach and OnAttached must be
// called before Membership.Run.
type Group interface {
	// Self returns the description of this process.
	Self() Peer
	// View returns the current view without taking a lock.
	View() *View
	// Changed returns a channel that is closed when the view is replaced.
	Changed() <-chan struct{}
	// Handle registers h for calls of method by peers.
	Handle(method string, h Handler)
	// Call calls method at the peer and stores the result in reply. It returns
	// result.PeerUnavailable when the peer does not respond. An error that the peer
	// returns keeps its result code.
	Call(ctx context.Context, peerID, method string, params, reply any) error
	// Attach sends the value that f returns with the heartbeats, under key. A
	// nil value is not sent.
	Attach(key string, f func() any)
	// OnAttached calls f whenever a peer's heartbeat carries a value under key.
	OnAttached(key string, f func(from Peer, value json.RawMessage))
}
