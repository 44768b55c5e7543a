package estimate

import (
	"math"
	"time"

	"skylarkport/internal/resource"
)

const (
	maxFamilies = 2048
	// censoredFraction is the use over commitment from which a run is assumed to be
	// held back by its resource limit. Its use is then multiplied by censoredFactor
	// to estimate what it would use without the limit.
	censoredFraction = 0.95
	censoredFactor   = 1.3
	rateWeight       = 0.1 // weight of a new rate sample
)

// Summary summarises the observations of a family. Amounts are per task.
type Summary struct {
	Used          resource.Vector // processors at the store's percentile, peak memory; no accelerators
	Typical       resource.Vector // median
	Samples       int             // number of usage samples
	RunTime       time.Duration   // 90th percentile of whole runs
	MedianRunTime time.Duration   // median of whole runs
	Work          float64         // median work units of finished tasks; 0 if workers report none
	WorkRate      float64         // moving average of work units per second; 0 if workers report none
	FinishedRuns  int             // number of finished runs
}

// Remaining returns the expected remaining run time, at the 90th percentile, of a
// task that has saved done work units. At least 5% of the run time always remain.
// It returns fallback, or 0 if that is negative, if no run of the family finished.
func (s *Summary) Remaining(done int64, fallback time.Duration) time.Duration {
	if s == nil || s.FinishedRuns == 0 {
		return max(fallback, 0)
	}
	remaining := 1.0
	if s.Work > 0 {
		remaining = 1 - float64(done)/s.Work
	}
	remaining = math.Min(1, math.Max(0.05, remaining))
	return time.Duration(float64(s.RunTime) * remaining)
}

type family struct {
	cpu, memory, runTimes, work histogram
	samples, finishedRuns       int
	rate                        float64
	lastObserved                time.Duration
	cachedSummary               *Summary
}

// Store keeps histograms of processor use, memory use, run time and work units for each
// job family. It is not safe for concurrent use.
type Store struct {
	percentile float64
	families   map[string]*family
}

// NewStore returns an empty store that summarises processor use at percentile,
// which must be in (0, 1] or is replaced by 0.95.
func NewStore(percentile float64) *Store {
	s := &Store{families: map[string]*family{}}
	s.SetPercentile(percentile)
	return s
}

// SetPercentile changes the percentile at which processor use is summarised.
func (s *Store) SetPercentile(percentile float64) {
	if !(percentile > 0 && percentile <= 1) {
		percentile = 0.95
	}
	s.percentile = percentile
	for _, f := range s.families {
		f.cachedSummary = nil
	}
}

// RecordUsage records one usage sample of a run with the commitment commit, and
// its work units per second if rate is positive.
func (s *Store) RecordUsage(name string, used, commit resource.Vector, rate float64, now time.Duration) {
	f := s.family(name, now)
	f.cpu.add(uncensored(used.MilliCPU, commit.MilliCPU))
	f.memory.add(uncensored(used.MemoryMB, commit.MemoryMB))
	f.samples++
	if rate > 0 && !math.IsInf(rate, 0) {
		f.addRate(rate)
	}
}

// RecordFinished records the run time and the work units of a finished task. If
// its last run resumed from a checkpoint, the caller has scaled the run time up to
// the whole task.
func (s *Store) RecordFinished(name string, runTime time.Duration, work int64, now time.Duration) {
	f := s.family(name, now)
	f.runTimes.add(float64(runTime / time.Millisecond))
	if work > 0 {
		f.work.add(float64(work))
	}
	f.finishedRuns++
}

// Summaries returns the summaries of all families. They are immutable; those of
// families without new observations are shared between calls.
func (s *Store) Summaries() map[string]*Summary {
	m := make(map[string]*Summary, len(s.families))
	for name, f := range s.families {
		if f.cachedSummary == nil {
			f.cachedSummary = f.summary(s.percentile)
		}
		m[name] = f.cachedSummary
	}
	return m
}

func (f *family) summary(p float64) *Summary {
	return &Summary{
		Used: resource.Vector{
			MilliCPU: int64(f.cpu.percentile(p)),
			MemoryMB: int64(f.memory.percentile(1)),
		},
		Typical: resource.Vector{
			MilliCPU: int64(f.cpu.percentile(0.5)),
			MemoryMB: int64(f.memory.percentile(0.5)),
		},
		Samples:       f.samples,
		RunTime:       time.Duration(f.runTimes.percentile(0.9)) * time.Millisecond,
		MedianRunTime: time.Duration(f.runTimes.percentile(0.5)) * time.Millisecond,
		Work:          f.work.percentile(0.5),
		WorkRate:      f.rate,
		FinishedRuns:  f.finishedRuns,
	}
}

// addRate adds a sample to the moving average of the work rate.
func (f *family) addRate(rate float64) {
	if f.rate == 0 {
		f.rate = rate
		return
	}
	f.rate += rateWeight * (rate - f.rate)
}

// family returns the state of a family that is about to change, and creates it if
// necessary.
func (s *Store) family(name string, now time.Duration) *family {
	f, ok := s.families[name]
	if !ok {
		s.dropOldest()
		f = &family{}
		s.families[name] = f
	}
	f.lastObserved = now
	f.cachedSummary = nil
	return f
}

// dropOldest drops the family that was not observed for the longest time if
// maxFamilies are held.
func (s *Store) dropOldest() {
	if len(s.families) < maxFamilies {
		return
	}
	var oldest string
	oldestObserved := time.Duration(math.MaxInt64)
	for name, f := range s.families {
		if f.lastObserved < oldestObserved || f.lastObserved == oldestObserved && name < oldest {
			oldest, oldestObserved = name, f.lastObserved
		}
	}
	delete(s.families, oldest)
}

// uncensored estimates what a run would have used without its resource limit.
func uncensored(used, commit int64) float64 {
	v := float64(max(used, 0))
	if commit > 0 && v >= censoredFraction*float64(commit) {
		return v * censoredFactor
	}
	return v
}

// Typical returns the median use of the family's tasks, or zero if there are no
// observations.
func (s *Store) Typical(name string) resource.Vector {
	f := s.families[name]
	if f == nil {
		return resource.Vector{}
	}
	if f.cachedSummary == nil {
		f.cachedSummary = f.summary(s.percentile)
	}
	return f.cachedSummary.Typical
}
