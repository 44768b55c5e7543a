package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// Kind is a kind of fault.
type Kind string

// The kinds of fault. Target is "tables", "objects", "instances", a worker's id
// or "workers" for all of them; the kinds from FailAll on take workers only.
const (
	Down           Kind = "down"            // calls to the target are refused
	Slow           Kind = "slow"            // answers of the target come Delay late
	Late           Kind = "late"            // writes to the target take effect after Delay, also when the caller gave up
	Lost           Kind = "lost"            // answers are lost after the write took effect
	Lag            Kind = "lag"             // the instance list is Delay old
	Cut            Kind = "cut"             // no traffic between From and To
	FailAll        Kind = "fail-all"        // every run that the worker starts fails
	ReportLate     Kind = "report-late"     // usage reports are Delay older
	UpstreamSlow   Kind = "upstream-slow"   // requests take Delay longer
	UpstreamRefuse Kind = "upstream-refuse" // requests are refused with the proof of not having run
	UpstreamFail   Kind = "upstream-fail"   // requests run and their connection breaks before the answer
	UpstreamBreak  Kind = "upstream-break"  // answers break off half way
	Leave          Kind = "leaving"         // the worker says that it is leaving
	Pause          Kind = "pause"           // the worker stands still
	Resume         Kind = "resume"          // ends a pause at once
	Kill           Kind = "kill"            // the worker dies and stays dead
	Restart        Kind = "restart"         // the worker dies and comes back as a new incarnation
)

// PlatformZone is the name of the platform's services as an end of a Cut.
const PlatformZone = settings.StandinPlatform

// Fault is a fault on request.
type Fault struct {
	Kind   Kind         `json:"kind"`
	Target string       `json:"target,omitempty"`
	From   string       `json:"from,omitempty"`    // Cut: availability zone or PlatformZone
	To     string       `json:"to,omitempty"`      // Cut: availability zone or PlatformZone
	OneWay bool         `json:"one_way,omitempty"` // Cut: only From to To
	For    job.Duration `json:"for,omitempty"`     // zero until cleared
	Delay  job.Duration `json:"delay,omitempty"`
	Count  int          `json:"count,omitempty"` // calls that it hits; zero for all
}

// cutPoll is how often a held call looks whether its cut has ended.
const cutPoll = 20 * time.Millisecond

type activeFault struct {
	Fault
	until time.Time
	left  int
}

// faultSet holds the faults in force.
type faultSet struct {
	mu     sync.Mutex
	active []*activeFault
}

func (s *faultSet) add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &activeFault{Fault: f, left: f.Count}
	if f.For > 0 {
		a.until = time.Now().Add(f.For.D())
	}
	s.active = append(s.active, a)
}

func (s *faultSet) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = nil
}

// hit returns the first fault of kind on one of targets, and uses up one of its
// count.
func (s *faultSet) hit(kind Kind, targets ...string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range s.active {
		if a.Kind != kind || !slices.Contains(targets, a.Target) || a.spent(now) {
			continue
		}
		a.left--
		return a.Fault, true
	}
	return Fault{}, false
}

func (a *activeFault) spent(now time.Time) bool {
	if a.Count > 0 && a.left <= 0 {
		return true
	}
	return !a.until.IsZero() && !now.Before(a.until)
}

func (s *faultSet) cut(from, to string) bool {
	if from == to {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range s.active {
		if a.Kind != Cut || a.spent(now) {
			continue
		}
		if (a.From == from && a.To == to) || (!a.OneWay && a.From == to && a.To == from) {
			return true
		}
	}
	return false
}

// pass holds a message while its path is cut. It returns an Unknown error when
// ctx ends first.
func (s *faultSet) pass(ctx context.Context, from, to string, code result.Code) error {
	for s.cut(from, to) {
		if sleep(ctx, cutPoll) != nil {
			return unknown(code, "no answer")
		}
	}
	return nil
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

var (
	actions = []Kind{Pause, Resume, Kill, Restart}
	kinds   = []Kind{
		Down, Slow, Late, Lost, Lag, Cut, FailAll, ReportLate,
		UpstreamSlow, UpstreamRefuse, UpstreamFail, UpstreamBreak, Leave,
		Pause, Resume, Kill, Restart,
	}
)
