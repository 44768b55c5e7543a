package standin

import (
	"sync"

	"skylarkport/internal/history"
)

// recorder collects events, up to limit of each kind. Further ones are not kept, but
// counted in totals, among others as RecordsDropped.
type recorder struct {
	mu         sync.Mutex
	limit      int
	runs       []history.RunEvent
	reported   []history.EndReport
	executions []history.Execution
	peaks      map[string]*history.WorkerPeaks
	totals     history.Totals
}

func newRecorder(limit int) *recorder {
	return &recorder{limit: limit, peaks: map[string]*history.WorkerPeaks{}}
}

// updateTotals calls f to update the counters.
func (rec *recorder) updateTotals(f func(*history.Totals)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	f(&rec.totals)
}

func (rec *recorder) addRun(e history.RunEvent) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch e.Kind {
	case history.RunStarted:
		rec.totals.RunsStarted++
	case history.RunRefused:
		rec.totals.RunsRefused++
	default:
		rec.totals.RunsEnded++
	}
	if len(rec.runs) >= rec.limit {
		rec.totals.RecordsDropped++
		return
	}
	rec.runs = append(rec.runs, e)
}

func (rec *recorder) addReport(r history.EndReport) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.reported) >= rec.limit {
		rec.totals.RecordsDropped++
		return
	}
	rec.reported = append(rec.reported, r)
}

func (rec *recorder) addExecution(e history.Execution) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.totals.Executions++
	if len(rec.executions) >= rec.limit {
		rec.totals.RecordsDropped++
		return
	}
	rec.executions = append(rec.executions, e)
}

// updatePeaks calls f to update the high-water marks of a worker.
func (rec *recorder) updatePeaks(worker string, f func(*history.WorkerPeaks)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	p := rec.peaks[worker]
	if p == nil {
		p = &history.WorkerPeaks{Worker: worker}
		rec.peaks[worker] = p
	}
	f(p)
}
