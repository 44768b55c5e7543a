// Package idempotency records idempotency keys, so that all entries together
// send a request with a key at most once. Keys are hashed to ranges. Each range
// is owned by one entry, which records it in a journal. A request is sent only
// after the claim of its key is in the journal.
package idempotency

import (
	"encoding/json"
	"time"

	"skylarkport/internal/forward"
	"skylarkport/internal/result"
)

// Limits of the keys of one range.
const (
	// Retention is how long a key is kept after its claim, or after a new owner
	// has read it. A caller must not repeat the request later than that.
	Retention = 10 * time.Minute
	// MaxRangeBytes is the most memory that the keys of one range may take.
	MaxRangeBytes = 16 << 20
	// recordOverhead is the size assumed for a key in addition to its strings
	// and response, in bytes.
	recordOverhead = 256
)

// op is the kind of a change: a claim, the end of its request, or the removal
// of a claim whose request was not run.
type op string

const (
	opClaim op = "claim"
	opEnd   op = "end"
	opFree  op = "free"
)

// change is one record in the journal of a range.
type change struct {
	Op          op                      `json:"op"`
	Key         string                  `json:"key"`
	Token       string                  `json:"token"`
	Fingerprint uint64                  `json:"fp,omitempty"`
	Timeout     time.Duration           `json:"timeout_ns,omitempty"` // of a claim: time after it by which its request has ended
	Response    *forward.StoredResponse `json:"answer,omitempty"`     // of an end: nil if the outcome is unknown
}

// keyRecord is the state of one key.
type keyRecord struct {
	Token       string                  `json:"token"`
	Fingerprint uint64                  `json:"fp"`
	Timeout     time.Duration           `json:"timeout_ns"`
	Ended       bool                    `json:"ended"`
	Response    *forward.StoredResponse `json:"answer,omitempty"`

	claimedAt time.Duration // time of the claim, or when this owner read it from the journal
	journaled bool          // the claim is in the journal
}

// keys holds the keys of a range. Apart from claims that are not yet in the
// journal, it is determined by the journal's changes. It is not safe for
// concurrent use.
type keys struct {
	entries map[string]*keyRecord
	bytes   int
}

func newKeys() *keys { return &keys{entries: make(map[string]*keyRecord)} }

// apply applies a change that is in the journal. Applying a change again has no
// effect. An end or a removal has none either if its token is not that of the
// key's current claim.
func (k *keys) apply(c change, now time.Duration) {
	e := k.entries[c.Key]
	known := e != nil && e.Token == c.Token
	switch {
	case c.Op == opClaim && known:
		e.journaled = true
	case c.Op == opClaim:
		k.put(c.Key, &keyRecord{Token: c.Token, Fingerprint: c.Fingerprint, Timeout: c.Timeout, claimedAt: now, journaled: true})
	case !known:
	case c.Op == opFree:
		k.remove(c.Key)
	case c.Op == opEnd && !e.Ended:
		k.bytes -= recordSize(c.Key, e)
		e.Ended, e.Response = true, c.Response
		k.bytes += recordSize(c.Key, e)
	}
}

// put sets the state of a key.
func (k *keys) put(key string, e *keyRecord) {
	k.remove(key)
	k.entries[key] = e
	k.bytes += recordSize(key, e)
}

func (k *keys) remove(key string) {
	if e := k.entries[key]; e != nil {
		k.bytes -= recordSize(key, e)
		delete(k.entries, key)
	}
}

// recordSize estimates the memory that a key takes, in bytes.
func recordSize(key string, e *keyRecord) int {
	n := recordOverhead + len(key) + len(e.Token)
	if e.Response == nil {
		return n
	}
	n += len(e.Response.Body)
	for name, values := range e.Response.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// responseFor returns the result for a request with the key: the stored response of
// the first request, an error that refuses it, or nil and nil if the key is
// new.
func (k *keys) responseFor(key string, fingerprint uint64, now time.Duration) (*forward.StoredResponse, error) {
	e := k.entries[key]
	switch {
	case e == nil:
		return nil, k.checkCapacity()
	case e.Fingerprint != fingerprint:
		return nil, result.Errorf(result.KeyMismatch, "the idempotency key was used for a request with another method, path, query or body")
	case e.Ended && e.Response == nil:
		return nil, result.Errorf(result.OutcomeUnknown, "it is unknown whether the first request with this key ran")
	case e.Ended && e.Response.TooLarge:
		return nil, result.Errorf(result.KeyResponseTooLarge, "the first request with this key ran, but its response was too large to store")
	case e.Ended:
		return e.Response, nil
	case now-e.claimedAt >= e.Timeout:
		return nil, result.Errorf(result.OutcomeUnknown, "the first request with this key timed out without a recorded outcome")
	}
	return nil, result.Errorf(result.KeyBusy, "the first request with this key is still running")
}

// checkCapacity returns an error if the range has no memory left for a new key.
func (k *keys) checkCapacity() error {
	if k.bytes >= MaxRangeBytes {
		return result.Errorf(result.KeyStoreUnavailable, "the key range is full: its keys take %d bytes", k.bytes)
	}
	return nil
}

// expire removes the keys that are older than Retention and whose requests have
// ended or timed out.
func (k *keys) expire(now time.Duration) {
	for key, e := range k.entries {
		if now-e.claimedAt >= Retention && (e.Ended || now-e.claimedAt >= e.Timeout) {
			k.remove(key)
		}
	}
}

// snapshot encodes the keys whose claims are in the journal.
func (k *keys) snapshot() []byte {
	out := make(map[string]*keyRecord, len(k.entries))
	for key, e := range k.entries {
		if e.journaled {
			out[key] = e
		}
	}
	b, _ := json.Marshal(out)
	return b
}

// restore returns the keys of a snapshot and the changes after it.
func restore(snapshot []byte, records [][]byte, now time.Duration) (*keys, error) {
	k := newKeys()
	if snapshot != nil {
		var m map[string]*keyRecord
		if err := json.Unmarshal(snapshot, &m); err != nil {
			return nil, result.Wrap(result.JournalCorrupt, err, "decode snapshot of idempotency keys")
		}
		for key, e := range m {
			e.claimedAt, e.journaled = now, true
			k.put(key, e)
		}
	}
	for _, r := range records {
		var c change
		if err := json.Unmarshal(r, &c); err != nil {
			return nil, result.Wrap(result.JournalCorrupt, err, "decode idempotency key change")
		}
		k.apply(c, now)
	}
	return k, nil
}
