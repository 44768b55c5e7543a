package forward

import (
	"sync"
	"time"

	"skylarkport/internal/result"
)

// maxRefusals bounds the refusals that are kept for explanations.
const maxRefusals = 4096

// Refusal is why a request got no answer of an upstream.
type Refusal struct {
	RequestID string
	Service   string
	Tenant    string
	Code      result.Code
	Detail    string
	NotRun    bool
	Attempts  int
	At        time.Time
}

// refusals keeps the newest refusals; the oldest falls out.
type refusals struct {
	mu   sync.Mutex
	ring []Refusal
	next int
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

// find returns the refusals of a request, oldest first.
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

// Refusals returns what is kept about the request, oldest first.
func (h *Handler) Refusals(requestID string) []Refusal { return h.refusals.find(requestID) }
