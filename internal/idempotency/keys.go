// Package idempotency records idempotency keys, so that a keyed request is sent
// at most once across all entries. Keys hash to ranges; a range is owned by one
// entry through a journal, and a claim is in the journal before its request is
// sent.
package idempotency

import (
	"encoding/json"
	"time"

	"skylarkport/internal/forward"
	"skylarkport/internal/result"
)

// Bounds of the keys of one range.
const (
	// Keep is how long a key is known after its claim, or after a new owner
	// read it. A caller must not ask again later than that.
	Keep = 10 * time.Minute
	// MaxBytes bounds what the keys of one range hold in memory.
	MaxBytes = 16 << 20
	// recordOverhead is counted for each key besides its strings and answer.
	recordOverhead = 256
)

// op is the kind of a change.
type op string

const (
	opClaim op = "claim"
	opEnd   op = "end"
	opFree  op = "free"
)

// change is one record of a range's journal.
type change struct {
	Op          op              `json:"op"`
	Key         string          `json:"key"`
	Token       string          `json:"token"`
	Fingerprint uint64          `json:"fp,omitempty"`
	Timeout     time.Duration   `json:"timeout_ns,omitempty"` // claim: until its request has ended
	Answer      *forward.Answer `json:"answer,omitempty"`     // end: nil where the outcome is not known
}

// entry is what is known of a key.
type entry struct {
	Token       string          `json:"token"`
	Fingerprint uint64          `json:"fp"`
	Timeout     time.Duration   `json:"timeout_ns"`
	Ended       bool            `json:"ended"`
	Answer      *forward.Answer `json:"answer,omitempty"`

	at       time.Duration // of the claim, or when this owner read it
	recorded bool          // the claim is in the journal
}

// keys is the state of a range: a function of the changes in the journal. It is
// not safe for concurrent use.
type keys struct {
	entries map[string]*entry
	bytes   int
}

func newKeys() *keys { return &keys{entries: make(map[string]*entry)} }

// apply takes over a change that is in the journal. A change that it has seen
// already does nothing.
func (k *keys) apply(c change, now time.Duration) {
	e := k.entries[c.Key]
	known := e != nil && e.Token == c.Token
	switch {
	case c.Op == opClaim && known:
		e.recorded = true
	case c.Op == opClaim:
		k.put(c.Key, &entry{Token: c.Token, Fingerprint: c.Fingerprint, Timeout: c.Timeout, at: now, recorded: true})
	case !known:
	case c.Op == opFree:
		k.remove(c.Key)
	case c.Op == opEnd && !e.Ended:
		k.bytes -= size(c.Key, e)
		e.Ended, e.Answer = true, c.Answer
		k.bytes += size(c.Key, e)
	}
}

func (k *keys) put(key string, e *entry) {
	k.remove(key)
	k.entries[key] = e
	k.bytes += size(key, e)
}

func (k *keys) remove(key string) {
	if e := k.entries[key]; e != nil {
		k.bytes -= size(key, e)
		delete(k.entries, key)
	}
}

func size(key string, e *entry) int {
	n := recordOverhead + len(key) + len(e.Token)
	if e.Answer == nil {
		return n
	}
	n += len(e.Answer.Body)
	for name, values := range e.Answer.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// ask says what a request with the key gets: the first one's answer, a refusal,
// or nil and nil where the key is new.
func (k *keys) ask(key string, fingerprint uint64, now time.Duration) (*forward.Answer, error) {
	e := k.entries[key]
	switch {
	case e == nil:
		return nil, k.room()
	case e.Fingerprint != fingerprint:
		return nil, result.Errorf(result.KeyMismatch, "the key was used with another method, path, query or body")
	case e.Ended && e.Answer == nil:
		return nil, result.Errorf(result.OutcomeUnknown, "whether the first request ran is not known")
	case e.Ended && e.Answer.TooLarge:
		return nil, result.Errorf(result.KeyAnswerTooLarge, "the first request ran; its answer was too large to keep")
	case e.Ended:
		return e.Answer, nil
	case now-e.at >= e.Timeout:
		return nil, result.Errorf(result.OutcomeUnknown, "the first request has no known end")
	}
	return nil, result.Errorf(result.KeyBusy, "the first request is still running")
}

func (k *keys) room() error {
	if k.bytes >= MaxBytes {
		return result.Errorf(result.KeyStoreAway, "the range holds %d bytes of keys", k.bytes)
	}
	return nil
}

// expire forgets the keys that were kept long enough.
func (k *keys) expire(now time.Duration) {
	for key, e := range k.entries {
		if now-e.at >= Keep && (e.Ended || now-e.at >= e.Timeout) {
			k.remove(key)
		}
	}
}

// snapshot encodes the keys whose claims are in the journal.
func (k *keys) snapshot() []byte {
	out := make(map[string]*entry, len(k.entries))
	for key, e := range k.entries {
		if e.recorded {
			out[key] = e
		}
	}
	b, _ := json.Marshal(out)
	return b
}

// restore reads a snapshot and the changes after it.
func restore(snapshot []byte, records [][]byte, now time.Duration) (*keys, error) {
	k := newKeys()
	if snapshot != nil {
		var m map[string]*entry
		if err := json.Unmarshal(snapshot, &m); err != nil {
			return nil, result.Wrap(result.JournalBroken, err, "snapshot of keys")
		}
		for key, e := range m {
			e.at, e.recorded = now, true
			k.put(key, e)
		}
	}
	for _, r := range records {
		var c change
		if err := json.Unmarshal(r, &c); err != nil {
			return nil, result.Wrap(result.JournalBroken, err, "change of a key")
		}
		k.apply(c, now)
	}
	return k, nil
}
