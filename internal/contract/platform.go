package contract

import (
	"context"

	"skylarkport/internal/resource"
)

// Key identifies a row by its table and its key in the table.
type Key struct {
	Table string `json:"table"`
	Row   string `json:"row"`
}

// Row is a stored row. A row's versions count up from 1 and are never reused, even
// if the row is deleted and written again.
type Row struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition is what a write requires of the stored row.
type Condition string

// The conditions.
const (
	Always    Condition = "always"
	IfAbsent  Condition = "absent"
	IfVersion Condition = "version" // the row's version is Write.Version
)

// Action is what a write does when every condition of its commit holds.
type Action string

// The actions.
const (
	Put    Action = "put"
	Delete Action = "delete"
	Check  Action = "check" // tests the condition and changes nothing
)

// Write is the condition and the change of one row in a commit.
type Write struct {
	Key     Key       `json:"key"`
	If      Condition `json:"if"`
	Version uint64    `json:"version,omitempty"`
	Do      Action    `json:"do"`
	Value   []byte    `json:"value,omitempty"`
}

// Tables is the platform's transactional table service.
type Tables interface {
	// Read returns a row, or result.PlatformNotFound.
	Read(ctx context.Context, key Key) (Row, error)
	// Scan returns up to limit rows of table with from <= key < to, in ascending
	// order of their keys. An empty to means no upper bound.
	Scan(ctx context.Context, table, from, to string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns the new version of each
	// written row, in the order of writes (0 for Delete and Check). A failed
	// condition is result.PlatformConflict with the outcome Refused. After the
	// outcome Unknown the caller must read the rows to find out what happened.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores body under name and replaces an existing object.
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the object, or result.PlatformNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object. It is no error if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// Role is the role of an instance in the platform's list.
type Role string

// The roles.
const (
	EntryRole  Role = "entry"  // an instance of this system
	WorkerRole Role = "worker" // an instance that runs tasks
)

// State is an instance's state in the platform's list.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID       string          `json:"id"`
	Role     Role            `json:"role"`
	Zone     string          `json:"zone"`
	Rack     string          `json:"rack,omitempty"`
	State    State           `json:"state"`
	Address  string          `json:"address"`  // worker: control address, IP:port
	Capacity resource.Vector `json:"capacity"` // worker
	Slots    int             `json:"slots"`    // worker: limit of concurrent requests
	Conns    int             `json:"conns"`    // worker: limit of connections
	// EntryPeer and SchedulerPeer are the peer addresses of the two
	// programs on an entry instance, IP:port.
	EntryPeer     string `json:"entry_peer,omitempty"`
	SchedulerPeer string `json:"scheduler_peer,omitempty"`
}

// Instances is the platform's list of live and leaving instances.
type Instances interface {
	// List returns every instance that is live or leaving. The list may be several
	// seconds old.
	List(ctx context.Context) ([]Instance, error)
}
