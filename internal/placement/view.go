package placement

import (
	"maps"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/estimate"
	"skylarkport/internal/interference"
	"skylarkport/internal/job"
	"skylarkport/internal/quarantine"
	"skylarkport/internal/resource"
)

// RunView is the latest measurement of a run.
type RunView struct {
	Run  job.RunID
	At   time.Duration // measured, on the owner's clock
	Used resource.Vector
	Load float64
	// Ratios are a service's latest latencies over its target since the
	// worker's last change, oldest first.
	Ratios []float64
}

// WorkerView is what was observed of a worker.
type WorkerView struct {
	Runs    []RunView
	Step    Step          // latest step against interference
	Stepped time.Duration // when it was taken
}

// View is an immutable picture of what an Engine observed.
type View struct {
	Config       bundle.Placement
	Usage        map[string]*estimate.Summary // by Family
	Interference interference.Frozen          // by Family
	Workers      map[string]*WorkerView
	Quarantine   map[string]quarantine.Status
	Floors       map[job.TaskID]resource.Vector // least commitment of outgrown tasks
	// Evictions is how many runs interference moved within the last hour.
	Evictions int
	Blind     bool // see Engine.SetBlind
}

// Freeze returns the present picture.
func (e *Engine) Freeze() *View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &View{
		Config:       e.cfg,
		Usage:        e.usage.Freeze(),
		Interference: e.interference.Freeze(),
		Workers:      maps.Clone(e.workers),
		Quarantine:   e.quarantine.Freeze(e.now),
		Floors:       maps.Clone(e.floors),
		Evictions:    e.recentEvictions(),
		Blind:        e.blind,
	}
}

func (e *Engine) recentEvictions() int {
	n := 0
	for _, at := range e.evictions {
		if e.now-at <= time.Hour {
			n++
		}
	}
	return n
}

// run returns the view of the run, or nil. A nil receiver knows none. The hint
// is where the run probably is.
func (w *WorkerView) run(id job.RunID, hint int) *RunView {
	if w == nil {
		return nil
	}
	if hint < len(w.Runs) && w.Runs[hint].Run == id {
		return &w.Runs[hint]
	}
	for i := range w.Runs {
		if w.Runs[i].Run == id {
			return &w.Runs[i]
		}
	}
	return nil
}

// Family names what the jobs of spec's family behave like. Families of
// different tenants are kept apart.
func Family(s *job.Spec) string {
	if s.Family == "" {
		return s.Tenant + "/" + s.ID
	}
	return s.Tenant + "/" + s.Family
}
