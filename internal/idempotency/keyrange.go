package idempotency

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/forward"
	"skylarkport/internal/journal"
	"skylarkport/internal/result"
)

// Sizes of a range's journal.
const (
	// window is the least time between two commits of a range.
	window = 100 * time.Millisecond
	// trimAfter is the number of changes after which a snapshot is taken.
	trimAfter = 2000
)

// keyRange is a range that this entry owns.
type keyRange struct {
	log *journal.Log
	now func() time.Duration

	mu      sync.Mutex
	keys    *keys
	through uint64 // newest sequence applied
	changes int    // since the last snapshot

	// writing is held shared from before an append until its change is
	// applied, and alone for a snapshot.
	writing sync.RWMutex
}

// openRange takes the range name over.
func openRange(ctx context.Context, tables contract.Tables, objects contract.Objects, name, owner string, now func() time.Duration) (*keyRange, error) {
	log, replay, err := journal.Open(ctx, tables, objects, name, owner, journal.Options{Window: window})
	if err != nil {
		return nil, err
	}
	k, err := restore(replay.Snapshot, replay.Records, now())
	if err != nil {
		log.Close()
		return nil, err
	}
	return &keyRange{log: log, now: now, keys: k, through: replay.Last, changes: len(replay.Records)}, nil
}

// claim records a claim, or says what the key's first request came to.
func (r *keyRange) claim(ctx context.Context, q claimRequest) (*forward.Answer, error) {
	r.writing.RLock()
	defer r.writing.RUnlock()
	answer, err := r.reserve(q)
	if answer != nil || err != nil {
		return answer, err
	}
	c := change{Op: opClaim, Key: q.Key, Token: q.Token, Fingerprint: q.Fingerprint, Timeout: q.Timeout}
	if err := r.append(ctx, c); err != nil {
		r.withdraw(q)
		return nil, result.Wrap(result.KeyStoreAway, err, "claim")
	}
	return nil, nil
}

// reserve marks a new key, so that of several requests at the same time one
// goes on.
func (r *keyRange) reserve(q claimRequest) (*forward.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	answer, err := r.keys.ask(q.Key, q.Fingerprint, now)
	if answer != nil || err != nil {
		return answer, err
	}
	r.keys.put(q.Key, &entry{Token: q.Token, Fingerprint: q.Fingerprint, Timeout: q.Timeout, at: now})
	return nil, nil
}

// withdraw forgets a reservation whose claim was not recorded. Its request is
// not sent. Where the claim is written all the same, a later claim replaces it.
func (r *keyRange) withdraw(q claimRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.keys.entries[q.Key]; e != nil && e.Token == q.Token {
		r.keys.remove(q.Key)
	}
}

// finish records how a claimed request ended.
func (r *keyRange) finish(ctx context.Context, q finishRequest) error {
	r.writing.RLock()
	defer r.writing.RUnlock()
	// The claim of a request that was not sent may be in the journal without
	// being known here.
	if !q.End.NotRun && !r.holds(q) {
		return nil
	}
	c := change{Op: opEnd, Key: q.Key, Token: q.Token, Answer: q.End.Answer}
	if q.End.NotRun {
		c.Op = opFree
	}
	return r.append(ctx, c)
}

// holds reports whether the claim is known and has no end yet.
func (r *keyRange) holds(q finishRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.keys.entries[q.Key]
	return e != nil && e.Token == q.Token && !e.Ended
}

// append writes the change to the journal and applies it.
func (r *keyRange) append(ctx context.Context, c change) error {
	b, err := json.Marshal(c)
	if err != nil {
		return result.Wrap(result.Internal, err, "change of a key")
	}
	seq, err := r.log.Append(ctx, [][]byte{b}, nil)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.apply(c, r.now())
	r.through = max(r.through, seq)
	r.changes++
	return nil
}

// tend forgets old keys and trims the journal.
func (r *keyRange) tend(ctx context.Context) error {
	r.mu.Lock()
	r.keys.expire(r.now())
	due := r.changes >= trimAfter
	r.mu.Unlock()
	if !due || r.log.Away() != nil {
		return nil
	}
	r.writing.Lock()
	body, through := r.keys.snapshot(), r.through
	r.changes = 0
	r.writing.Unlock()
	return r.log.Snapshot(ctx, through, body)
}

func (r *keyRange) deposed() bool {
	select {
	case <-r.log.Deposed():
		return true
	default:
		return false
	}
}
