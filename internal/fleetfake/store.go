// Package fleetfake provides in-memory fakes of the platform's store and workers, with
// injected faults, for tests in virtual time.
package fleetfake

import (
	"context"
	"encoding/base64"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
)

// Fault is an injected fault of a call.
type Fault uint8

// The faults of a call.
const (
	NoFault      Fault = iota
	Refused            // refused without effect
	RequestLost        // no effect and no response
	ResponseLost       // takes effect, but without a response
	Late               // no response; takes effect after LateDelay
	Malformed          // rejected for what it contains, each time
)

// LateDelay is the delay after which a call with the fault Late takes effect.
const LateDelay = 3 * time.Second

// storeDelay is the duration of a call to the store.
const storeDelay = 5 * time.Millisecond

// changesMargin is how long after the end of its wait a call of Changes is given up.
const changesMargin = time.Second

type rowKey struct{ table, part, key string }

// Store is a fleet.Store in memory.
type Store struct {
	mu          sync.Mutex
	rows        map[rowKey]fleet.Row
	history     []fleet.Row
	version     int64
	started     time.Time
	changed     chan struct{}
	chooseFault func(tx *fleet.Tx) Fault
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]fleet.Row{}, started: time.Now(), changed: make(chan struct{})}
}

func (s *Store) fault(tx *fleet.Tx) Fault {
	s.mu.Lock()
	f := s.chooseFault
	s.mu.Unlock()
	if f == nil {
		return NoFault
	}
	return f(tx)
}

// SetFault sets the function that chooses the fault of each call. Its argument is nil for
// a read or a wait for changes.
func (s *Store) SetFault(f func(tx *fleet.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// refused is the error of a call that had no effect.
func refused() error {
	return &contract.CallError{Outcome: contract.Refused, Code: result.PlatformRefused, Detail: "injected fault"}
}

// malformed is the error of a call that is rejected for what it contains.
func malformed() error {
	return &contract.CallError{Outcome: contract.Refused, Code: result.PlatformBadCall, Detail: "malformed"}
}

// noResponse waits until ctx ends, like a caller that gets no response, and returns an
// error with the outcome Unknown.
func noResponse(ctx context.Context) error {
	<-ctx.Done()
	return &contract.CallError{Outcome: contract.Unknown, Code: result.PlatformUnknown, Detail: "no response"}
}

// notDelivered is noResponse for a call that has not reached its receiver and never will.
func notDelivered(ctx context.Context) error {
	<-ctx.Done()
	return &contract.CallError{Outcome: contract.Unknown, Code: result.PlatformUnknown, Detail: "not delivered", NeverLate: true}
}

// Limits of a commit, a row and its names, the same as those of the platform.
const (
	maxEntries   = 100
	maxRowBytes  = 64 << 10
	maxNameBytes = 200
	maxTxBytes   = 1 << 20
	maxPageRows  = 500
)

// tooLarge reports whether the platform would reject tx as malformed.
func tooLarge(tx fleet.Tx) bool {
	size := 0
	for _, r := range tx.Put {
		if len(r.Value) > maxRowBytes || len(r.Key) > maxNameBytes {
			return true
		}
		size += base64.StdEncoding.EncodedLen(len(r.Value)) + len(r.Table) + len(r.Key) + len(tx.Part)
	}
	return size > maxTxBytes || len(tx.Expect)+len(tx.Put)+len(tx.Delete) > maxEntries
}

// Commit implements fleet.Store.
func (s *Store) Commit(ctx context.Context, tx fleet.Tx) (fleet.TxResult, error) {
	time.Sleep(storeDelay)
	if tooLarge(tx) {
		return fleet.TxResult{}, malformed()
	}
	switch s.fault(&tx) {
	case Malformed:
		return fleet.TxResult{}, malformed()
	case Refused:
		return fleet.TxResult{}, refused()
	case RequestLost:
		return fleet.TxResult{}, noResponse(ctx)
	case ResponseLost:
		s.apply(tx)
		return fleet.TxResult{}, noResponse(ctx)
	case Late:
		time.AfterFunc(LateDelay, func() { s.apply(tx) })
		return fleet.TxResult{}, noResponse(ctx)
	}
	return s.apply(tx), nil
}

func (s *Store) apply(tx fleet.Tx) fleet.TxResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := fleet.TxResult{Clock: s.clock()}
	conditionsHold := true
	for _, e := range tx.Expect {
		current, ok := s.rows[rowKey{e.Table, tx.Part, e.Key}]
		if current.Version != e.Version {
			conditionsHold = false
		}
		if ok {
			out.Current = append(out.Current, current)
		}
	}
	if !conditionsHold {
		return out
	}
	s.version++
	for _, r := range tx.Put {
		r.Part, r.Version = tx.Part, s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Delete {
		delete(s.rows, rowKey{r.Table, tx.Part, r.Key})
		s.history = append(s.history, fleet.Row{Table: r.Table, Part: tx.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	out.Applied, out.Version, out.Current = true, s.version, nil
	return out
}

// Clock returns the reading of the store's clock.
func (s *Store) Clock() fleet.Clock { return s.clock() }

func (s *Store) clock() fleet.Clock {
	return fleet.Clock(1_000_000 + time.Since(s.started).Milliseconds())
}

// Range implements fleet.Store.
func (s *Store) Range(ctx context.Context, table, part, from, to string, limit int) (fleet.Page, error) {
	time.Sleep(storeDelay)
	if err := s.readFault(ctx); err != nil {
		return fleet.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := fleet.Page{Clock: s.clock(), Version: s.version}
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(a, b fleet.Row) int { return strings.Compare(a.Key, b.Key) })
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	if len(p.Rows) > limit {
		p.Rows, p.More = p.Rows[:limit], true
	}
	return p, nil
}

func (s *Store) readFault(ctx context.Context) error {
	switch s.fault(nil) {
	case Refused:
		return refused()
	case RequestLost, ResponseLost, Late:
		return noResponse(ctx)
	}
	return nil
}

// Changes implements fleet.Store.
func (s *Store) Changes(ctx context.Context, table string, version int64, wait time.Duration) (fleet.Changes, error) {
	time.Sleep(storeDelay)
	ctx, cancel := context.WithTimeout(ctx, wait+changesMargin) // like that of the real client
	defer cancel()
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := s.readFault(ctx); err != nil {
			return fleet.Changes{}, err
		}
		c, changed := s.changesAfter(table, version)
		if len(c.Rows) > 0 {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return c, noResponse(ctx)
		case <-deadline.C:
			return c, nil
		case <-changed:
		}
	}
}

func (s *Store) changesAfter(table string, version int64) (fleet.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := fleet.Changes{Version: s.version}
	for _, r := range s.history {
		if r.Table == table && r.Version > version {
			c.Rows = append(c.Rows, r)
		}
	}
	return c, s.changed
}
