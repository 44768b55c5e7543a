package standin

import (
	"sync"

	"skylarkport/internal/history"
)

// recorder collects events, up to limit of each kind. Further ones are only counted in
// totals.RecordsDropped.
type recorder struct {
	mu         sync.Mutex
	limit      int
	runs       []history.RunEvent
	reported   []history.EndReport
	executions []history.Execution
	marks      map[string]*history.WorkerPeaks
	totals     history.Totals
}

func newRecorder(limit int) *recorder {
	return &recorder{limit: limit, marks: map[string]*history.WorkerPeaks{}}
}

// updateTotals calls f to update the counters.
func (h *recorder) updateTotals(f func(*history.Totals)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.totals)
}

func (h *recorder) addRun(e history.RunEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch e.Kind {
	case history.RunStarted:
		h.totals.RunsStarted++
	case history.RunRefused:
		h.totals.RunsRefused++
	default:
		h.totals.RunsEnded++
	}
	if len(h.runs) >= h.limit {
		h.totals.RecordsDropped++
		return
	}
	h.runs = append(h.runs, e)
}

func (h *recorder) addReport(r history.EndReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.reported) >= h.limit {
		h.totals.RecordsDropped++
		return
	}
	h.reported = append(h.reported, r)
}

func (h *recorder) addExecution(e history.Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.totals.Executions++
	if len(h.executions) >= h.limit {
		h.totals.RecordsDropped++
		return
	}
	h.executions = append(h.executions, e)
}

// updateMarks calls f to update the high-water marks of a worker.
func (h *recorder) updateMarks(worker string, f func(*history.WorkerPeaks)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.marks[worker]
	if m == nil {
		m = &history.WorkerPeaks{Worker: worker}
		h.marks[worker] = m
	}
	f(m)
}
