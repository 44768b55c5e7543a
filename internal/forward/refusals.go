package forward

import (
	"sync"
	"time"

	"skylarkport/internal/result"
)

// maxRefusals is the number of refusals kept for the explain command.
const maxRefusals = 4096

// Refusal records a request that the entry answered with an error of its own instead
// of an upstream's response, and the reason.
type Refusal struct {
	RequestID    string
	Service      string
	Organisation string
	Code         result.Code
	Detail       string
	NotRun       bool
	Attempts     int
	At           time.Time
}

// refusals is a ring buffer of the newest refusals.
type refusals struct {
	mu   sync.Mutex
	ring []Refusal
	next int // index of the oldest refusal once the ring is full
}

func (r *refusals) add(v Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < maxRefusals {
		r.ring = append(r.ring, v)
		return
	}
	r.ring[r.next] = v
	r.next = (r.next + 1) % maxRefusals
}

// find returns the refusals with the request ID id, oldest first.
func (r *refusals) find(id string) []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Refusal
	for i := range r.ring {
		v := &r.ring[(r.next+i)%len(r.ring)]
		if v.RequestID == id {
			out = append(out, *v)
		}
	}
	return out
}

// Refusals returns the kept refusals of the request, oldest first.
func (h *Handler) Refusals(requestID string) []Refusal { return h.refusals.find(requestID) }
