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
	Run        job.RunID
	MeasuredAt time.Duration // when measured, on the shard owner's clock
	Used       resource.Vector
	Load       float64
	// LatencyRatios holds a service's latest latencies divided by its target, measured
	// since the worker's last change, oldest first.
	LatencyRatios []float64
}

// WorkerView holds the latest measurements of the runs on a worker and the latest step
// taken there against interference.
type WorkerView struct {
	Runs       []RunView
	LastStep   Step          // latest step against interference
	LastStepAt time.Duration // when it was taken
}

// View is an immutable copy of what an Engine observed.
type View struct {
	Config         bundle.Placement
	Usage          map[string]*estimate.Summary // by Family
	Interference   interference.Estimates       // by Family
	Workers        map[string]*WorkerView
	Quarantine     map[string]quarantine.Status
	MinCommitments map[job.TaskID]resource.Vector // minimum commitment of tasks that ran short of memory
	// Evictions is the number of runs moved or evicted because of interference
	// within the last hour.
	Evictions    int
	ResourceOnly bool // see Engine.SetResourceOnly
}

// View returns a copy of the present observations.
func (e *Engine) View() *View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &View{
		Config:         e.cfg,
		Usage:          e.usage.Summaries(),
		Interference:   e.interference.Estimates(),
		Workers:        maps.Clone(e.workers),
		Quarantine:     e.quarantine.Statuses(e.now),
		MinCommitments: maps.Clone(e.minCommitments),
		Evictions:      e.recentEvictions(),
		ResourceOnly:   e.resourceOnly,
	}
}

// recentEvictions returns the number of moves and evictions because of
// interference within the last hour.
func (e *Engine) recentEvictions() int {
	n := 0
	for _, at := range e.evictionTimes {
		if e.now-at <= time.Hour {
			n++
		}
	}
	return n
}

// findRun returns the view of the run, or nil. It looks at the index hint first.
// The receiver may be nil.
func (w *WorkerView) findRun(id job.RunID, hint int) *RunView {
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

// Family returns the key under which observations of s are kept: the declared
// family, or else the job. Families of different organisations are kept apart.
func Family(s *job.Spec) string {
	if s.Family == "" {
		return s.Organisation + "/" + s.ID
	}
	return s.Organisation + "/" + s.Family
}
