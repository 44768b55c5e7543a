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

// The kinds of fault. Target is "tables", "objects", "instances", a worker's id or
// "workers" for all of them. The kinds from FailAll on apply to workers only, and those
// from Pause on to a single worker. Partition has no target.
const (
	Down           Kind = "down"            // calls to the target are refused
	Slow           Kind = "slow"            // responses of the target are delayed by Delay
	Late           Kind = "late"            // writes to the target take effect after Delay, even if the caller has given up
	LostResponse   Kind = "lost"            // writes to the target take effect, but their responses are lost
	Lag            Kind = "lag"             // the list of instances is as old as Delay
	Partition      Kind = "cut"             // network partition between From and To
	FailAll        Kind = "fail-all"        // every run that the worker starts fails
	ReportLate     Kind = "report-late"     // usage reports are older by Delay
	UpstreamSlow   Kind = "upstream-slow"   // requests to upstreams take longer by Delay
	UpstreamRefuse Kind = "upstream-refuse" // requests are refused with the header that proves that they did not run
	UpstreamFail   Kind = "upstream-fail"   // requests run, and the connection closes before the response
	UpstreamBreak  Kind = "upstream-break"  // responses are truncated halfway
	Leave          Kind = "leaving"         // the worker reports that it is leaving
	Pause          Kind = "pause"           // the worker is suspended: it makes no progress and does not respond
	Resume         Kind = "resume"          // ends a pause at once
	Kill           Kind = "kill"            // the worker dies and stays dead
	Restart        Kind = "restart"         // the worker dies and, after Delay, comes back as a new incarnation
)

// PlatformZone is the name that stands for the platform's services in From and To of a
// Partition.
const PlatformZone = settings.StandinPlatformZone

// Fault is a fault to inject.
type Fault struct {
	Kind     Kind         `json:"kind"`
	Target   string       `json:"target,omitempty"`
	From     string       `json:"from,omitempty"`    // Partition: availability zone or PlatformZone
	To       string       `json:"to,omitempty"`      // Partition: availability zone or PlatformZone
	OneWay   bool         `json:"one_way,omitempty"` // Partition: only from From to To
	Duration job.Duration `json:"for,omitempty"`     // duration of the fault; zero means until Clear
	Delay    job.Duration `json:"delay,omitempty"`
	Count    int          `json:"count,omitempty"` // number of calls affected; zero means all
}

// partitionPollInterval is the interval at which a blocked call checks whether the
// partition has ended.
const partitionPollInterval = 20 * time.Millisecond

// activeFault is a fault in force with what remains of its time and count.
type activeFault struct {
	Fault
	until     time.Time // zero for no end
	remaining int       // calls still to be affected, if Count is set
}

// faultSet holds the faults in force.
type faultSet struct {
	mu     sync.Mutex
	active []*activeFault
}

func (s *faultSet) add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &activeFault{Fault: f, remaining: f.Count}
	if f.Duration > 0 {
		a.until = time.Now().Add(f.Duration.D())
	}
	s.active = append(s.active, a)
}

func (s *faultSet) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = nil
}

// match returns the first fault of kind on one of targets and counts the call against its
// Count.
func (s *faultSet) match(kind Kind, targets ...string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range s.active {
		if a.Kind != kind || !slices.Contains(targets, a.Target) || a.ended(now) {
			continue
		}
		a.remaining--
		return a.Fault, true
	}
	return Fault{}, false
}

// ended reports whether the fault has affected Count calls or its time is over.
func (a *activeFault) ended(now time.Time) bool {
	if a.Count > 0 && a.remaining <= 0 {
		return true
	}
	return !a.until.IsZero() && !now.Before(a.until)
}

// partitioned reports whether a partition blocks messages from one zone to the other.
func (s *faultSet) partitioned(from, to string) bool {
	if from == to {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range s.active {
		if a.Kind != Partition || a.ended(now) {
			continue
		}
		if (a.From == from && a.To == to) || (!a.OneWay && a.From == to && a.To == from) {
			return true
		}
	}
	return false
}

// waitWhilePartitioned blocks a message while a partition separates from and to. If ctx
// ends first, it returns an error with the outcome Unknown.
func (s *faultSet) waitWhilePartitioned(ctx context.Context, from, to string, code result.Code) error {
	for s.partitioned(from, to) {
		if sleep(ctx, partitionPollInterval) != nil {
			return unknown(code, "no response: zones are partitioned")
		}
	}
	return nil
}

// sleep waits for d, or until ctx ends; then it returns the error of ctx.
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
	// actionKinds are the kinds that act on a worker once; the others stay in force.
	actionKinds = []Kind{Pause, Resume, Kill, Restart}
	allKinds    = []Kind{
		Down, Slow, Late, LostResponse, Lag, Partition, FailAll, ReportLate,
		UpstreamSlow, UpstreamRefuse, UpstreamFail, UpstreamBreak, Leave,
		Pause, Resume, Kill, Restart,
	}
)
