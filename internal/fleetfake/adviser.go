package fleetfake

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Adviser is a fleet.Adviser that approves some workers for all steps. It serves one call at a time.
type Adviser struct {
	Decision  time.Duration // of a call, beside PerWorker
	PerWorker time.Duration
	Validity  time.Duration // of a ticket

	turn chan struct{}

	mu       sync.Mutex
	approved map[string]bool
	issued   map[string]time.Time // by ticket
	fault    func() Fault
	calls    int
}

// NewAdviser returns an adviser that approves the given workers.
func NewAdviser(workers ...string) *Adviser {
	a := &Adviser{
		Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 3 * time.Second,
		turn: make(chan struct{}, 1), approved: map[string]bool{}, issued: map[string]time.Time{},
	}
	for _, id := range workers {
		a.approved[id] = true
	}
	return a
}

// SetFault sets the function that chooses the fault of a call, or clears it with nil.
func (a *Adviser) SetFault(f func() Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
}

// Calls counts the calls.
func (a *Adviser) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Approve implements fleet.Adviser.
func (a *Adviser) Approve(ctx context.Context, step string, workers []string) (map[string]string, error) {
	a.mu.Lock()
	a.calls++
	fault := NoFault
	if a.fault != nil {
		fault = a.fault()
	}
	a.mu.Unlock()
	if fault == Refused {
		return nil, refused()
	}
	select {
	case a.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, noResponse(ctx)
	}
	timer := time.NewTimer(a.Decision + time.Duration(len(workers))*a.PerWorker)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	<-a.turn
	if ctx.Err() != nil || fault != NoFault {
		return nil, noResponse(ctx)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]string{}
	for _, id := range workers {
		if a.approved[id] {
			out[id] = ticketOf(step, id)
			a.issued[out[id]] = time.Now()
		}
	}
	return out, nil
}

func ticketOf(step, worker string) string { return fmt.Sprintf("%s/%s", step, worker) }

// valid reports whether a ticket lets a worker start a task now.
func (a *Adviser) valid(ticket, task, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return ticket == ticketOf(step, worker) && time.Since(a.issued[ticket]) <= a.Validity
}
