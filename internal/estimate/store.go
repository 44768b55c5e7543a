package estimate

import (
	"math"
	"time"

	"skylarkport/internal/resource"
)

const (
	maxFamilies = 2048
	// censored is the share of its commitment above which a run's use is
	// taken to be held down by the guard, and censoredFactor what it is
	// then taken to want over what it used.
	censored       = 0.95
	censoredFactor = 1.3
	rateGain       = 0.1 // weight of a new rate sample
)

// Summary is what is known of a family. Amounts are per task.
type Summary struct {
	Used          resource.Vector // the asked percentile of processors; memory at its peak; no accelerators
	Typical       resource.Vector // median
	Samples       int             // usage samples
	RunTime       time.Duration   // 90th percentile of whole runs
	MedianRunTime time.Duration   // median of whole runs
	Work          float64         // median of work units of finished tasks; 0 when workers report none
	Rate          float64         // mean work units per second; 0 for none
	Ended         int             // finished runs counted
}

// Remaining returns how long a task with done work units saved still runs, at
// the 90th percentile. It returns fallback where nothing was observed.
func (s *Summary) Remaining(done int64, fallback time.Duration) time.Duration {
	if s == nil || s.Ended == 0 {
		return max(fallback, 0)
	}
	left := 1.0
	if s.Work > 0 {
		left = 1 - float64(done)/s.Work
	}
	left = math.Min(1, math.Max(0.05, left))
	return time.Duration(float64(s.RunTime) * left)
}

type family struct {
	cpu, memory, run, work histogram
	samples, ended         int
	rate                   float64
	used                   time.Duration
	frozen                 *Summary
}

// Store learns by family. It is not safe for concurrent use.
type Store struct {
	percentile float64
	families   map[string]*family
}

// NewStore returns an empty store that summarises processors at percentile,
// which lies in (0, 1].
func NewStore(percentile float64) *Store {
	s := &Store{families: map[string]*family{}}
	s.SetPercentile(percentile)
	return s
}

// SetPercentile changes the percentile at which processors are summarised.
func (s *Store) SetPercentile(percentile float64) {
	if !(percentile > 0 && percentile <= 1) {
		percentile = 0.95
	}
	s.percentile = percentile
	for _, f := range s.families {
		f.frozen = nil
	}
}

// Usage counts one usage sample of a run that holds commit.
func (s *Store) Usage(name string, used, commit resource.Vector, rate float64, now time.Duration) {
	f := s.family(name, now)
	f.cpu.add(uncensored(used.MilliCPU, commit.MilliCPU))
	f.memory.add(uncensored(used.MemoryMB, commit.MemoryMB))
	f.samples++
	if rate > 0 && !math.IsInf(rate, 0) {
		f.addRate(rate)
	}
}

// Finished counts a task that finished: the length of its last run, scaled up
// by the caller where it resumed, and its work units.
func (s *Store) Finished(name string, runTime time.Duration, work int64, now time.Duration) {
	f := s.family(name, now)
	f.run.add(float64(runTime / time.Millisecond))
	if work > 0 {
		f.work.add(float64(work))
	}
	f.ended++
}

// Freeze returns the summaries. They are immutable and shared between calls
// where nothing changed.
func (s *Store) Freeze() map[string]*Summary {
	m := make(map[string]*Summary, len(s.families))
	for name, f := range s.families {
		if f.frozen == nil {
			f.frozen = f.summary(s.percentile)
		}
		m[name] = f.frozen
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
		RunTime:       time.Duration(f.run.percentile(0.9)) * time.Millisecond,
		MedianRunTime: time.Duration(f.run.percentile(0.5)) * time.Millisecond,
		Work:          f.work.percentile(0.5),
		Rate:          f.rate,
		Ended:         f.ended,
	}
}

func (f *family) addRate(rate float64) {
	if f.rate == 0 {
		f.rate = rate
		return
	}
	f.rate += rateGain * (rate - f.rate)
}

func (s *Store) family(name string, now time.Duration) *family {
	f, ok := s.families[name]
	if !ok {
		s.makeRoom()
		f = &family{}
		s.families[name] = f
	}
	f.used = now
	f.frozen = nil
	return f
}

// makeRoom drops the family that was longest without news.
func (s *Store) makeRoom() {
	if len(s.families) < maxFamilies {
		return
	}
	var oldest string
	at := time.Duration(math.MaxInt64)
	for name, f := range s.families {
		if f.used < at || f.used == at && name < oldest {
			oldest, at = name, f.used
		}
	}
	delete(s.families, oldest)
}

// uncensored returns what a run would have used without its guard.
func uncensored(used, commit int64) float64 {
	v := float64(max(used, 0))
	if commit > 0 && v >= censored*float64(commit) {
		return v * censoredFactor
	}
	return v
}

// Typical returns the median use of the family's tasks.
func (s *Store) Typical(name string) resource.Vector {
	f := s.families[name]
	if f == nil {
		return resource.Vector{}
	}
	if f.frozen == nil {
		f.frozen = f.summary(s.percentile)
	}
	return f.frozen.Typical
}
