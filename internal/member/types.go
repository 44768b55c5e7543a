// Package member keeps each process's view of its live peers, from the
// platform's lagging list and from direct heartbeats.
package member

import (
	"context"
	"encoding/json"
)

// Program is one of the two programs that every entry instance runs.
type Program string

// The programs.
const (
	Entry     Program = "entry"
	Scheduler Program = "scheduler"
)

// State is what this process knows of a peer.
type State string

// The states of a peer.
const (
	Alive   State = "alive"
	Suspect State = "suspect" // heartbeats are missing, or it flaps
	Dead    State = "dead"
	Leaving State = "leaving" // it said so, or the platform's list did
)

// Peer is a process of this system.
type Peer struct {
	ID          string  `json:"id"` // instance id + "/" + program
	Instance    string  `json:"instance"`
	Program     Program `json:"program"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"` // IP:port of its peer listener
	Incarnation string  `json:"incarnation"`
	State       State   `json:"state"`
}

// View is an immutable picture of the peers, without this process itself.
type View struct {
	Version uint64
	Peers   []Peer // ascending by ID
}

// Handler answers a call of a peer. The result is encoded as JSON.
type Handler func(ctx context.Context, from Peer, params json.RawMessage) (any, error)

// Group is the membership as the other parts use it. All methods are safe for
// concurrent use. Handle, Attach and OnAttached are called before Run.
type Group interface {
	// Self describes this process.
	Self() Peer
	// View returns the newest picture; the read takes no lock.
	View() *View
	// Changed returns a channel that is closed at the next change of View.
	Changed() <-chan struct{}
	// Handle answers method for peers.
	Handle(method string, h Handler)
	// Call calls method at the peer, with result.PeerAway where it does not
	// answer. An error answered by the peer keeps its result code.
	Call(ctx context.Context, peerID, method string, params, reply any) error
	// Attach adds the value that f returns to every heartbeat under key. A
	// nil value is left out.
	Attach(key string, f func() any)
	// OnAttached calls f with the value that a peer's heartbeat carried.
	OnAttached(key string, f func(from Peer, value json.RawMessage))
}
