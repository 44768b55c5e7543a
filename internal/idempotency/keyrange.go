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

// Parameters of a range's journal.
const (
	// commitWindow is the shortest time between two commits of a range.
	commitWindow = 100 * time.Millisecond
	// changesPerSnapshot is the number of changes after which a snapshot is
	// written and the journal trimmed.
	changesPerSnapshot = 2000
)

// keyRange is a range that this entry owns. Its state is recorded in a journal.
type keyRange struct {
	log *journal.Log
	now func() time.Duration

	mu         sync.Mutex
	keys       *keys
	appliedSeq uint64 // newest journal sequence number applied
	changes    int    // number of changes since the last snapshot

	// appendLock is held shared from before an append until its change is
	// applied, and exclusively while a snapshot is encoded, so that the
	// snapshot contains every change up to its sequence number.
	appendLock sync.RWMutex
}

// openRange takes over the range whose journal has the given name, and restores
// its keys.
func openRange(ctx context.Context, tables contract.Tables, objects contract.Objects, name, owner string, now func() time.Duration) (*keyRange, error) {
	log, replay, err := journal.Open(ctx, tables, objects, name, owner, journal.Options{Window: commitWindow})
	if err != nil {
		return nil, err
	}
	k, err := restore(replay.Snapshot, replay.Records, now())
	if err != nil {
		log.Close()
		return nil, err
	}
	return &keyRange{log: log, now: now, keys: k, appliedSeq: replay.LastSeq, changes: len(replay.Records)}, nil
}

// claim records a claim in the journal and returns nil and nil. If the key was
// claimed before, it returns the stored response of the first request or an
// error.
func (r *keyRange) claim(ctx context.Context, q claimRequest) (*forward.StoredResponse, error) {
	r.appendLock.RLock()
	defer r.appendLock.RUnlock()
	response, err := r.reserve(q)
	if response != nil || err != nil {
		return response, err
	}
	c := change{Op: opClaim, Key: q.Key, Token: q.Token, Fingerprint: q.Fingerprint, Timeout: q.Timeout}
	if err := r.append(ctx, c); err != nil {
		r.dropReservation(q)
		return nil, result.Wrap(result.KeyStoreUnavailable, err, "record claim of idempotency key")
	}
	return nil, nil
}

// reserve adds a new key in memory before its claim is in the journal, so that
// only one of several concurrent requests with the key proceeds.
func (r *keyRange) reserve(q claimRequest) (*forward.StoredResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	response, err := r.keys.responseFor(q.Key, q.Fingerprint, now)
	if response != nil || err != nil {
		return response, err
	}
	r.keys.put(q.Key, &keyRecord{Token: q.Token, Fingerprint: q.Fingerprint, Timeout: q.Timeout, claimedAt: now})
	return nil, nil
}

// dropReservation removes a reservation after the append of its claim failed.
// The request is not sent. If the claim was written to the journal after all, a
// later claim of the key replaces it.
func (r *keyRange) dropReservation(q claimRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.keys.entries[q.Key]; e != nil && e.Token == q.Token {
		r.keys.remove(q.Key)
	}
}

// finish records how a claimed request ended.
func (r *keyRange) finish(ctx context.Context, q finishRequest) error {
	r.appendLock.RLock()
	defer r.appendLock.RUnlock()
	// A response is recorded only for an open claim. A request that was not run frees its
	// key even if the claim is unknown here: the append of the claim may have reported
	// a failure although the journal has it.
	if !q.RequestOutcome.NotRun && !r.isClaimOpen(q) {
		return nil
	}
	c := change{Op: opEnd, Key: q.Key, Token: q.Token, Response: q.RequestOutcome.Response}
	if q.RequestOutcome.NotRun {
		c.Op = opFree
	}
	return r.append(ctx, c)
}

// isClaimOpen reports whether the claim is known and its request has no
// recorded end.
func (r *keyRange) isClaimOpen(q finishRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.keys.entries[q.Key]
	return e != nil && e.Token == q.Token && !e.Ended
}

// append writes the change to the journal and then applies it.
func (r *keyRange) append(ctx context.Context, c change) error {
	b, err := json.Marshal(c)
	if err != nil {
		return result.Wrap(result.Internal, err, "encode idempotency key change")
	}
	seq, err := r.log.Append(ctx, [][]byte{b}, nil)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys.apply(c, r.now())
	r.appliedSeq = max(r.appliedSeq, seq)
	r.changes++
	return nil
}

// maintain removes expired keys, and trims the journal when enough changes have
// accumulated.
func (r *keyRange) maintain(ctx context.Context) error {
	r.mu.Lock()
	r.keys.expire(r.now())
	due := r.changes >= changesPerSnapshot
	r.mu.Unlock()
	if !due || r.log.Outage() != nil {
		return nil
	}
	r.appendLock.Lock()
	body, appliedSeq := r.keys.snapshot(), r.appliedSeq
	r.changes = 0
	r.appendLock.Unlock()
	return r.log.Snapshot(ctx, appliedSeq, body)
}

// ownershipLost reports whether another entry has taken the range over.
func (r *keyRange) ownershipLost() bool {
	select {
	case <-r.log.OwnershipLost():
		return true
	default:
		return false
	}
}
