package dispatch

import (
	"slices"
	"time"

	"skylarkport/internal/workload"
)

// Load is the capacity of a shard and the demand on it. Shards exchange their loads to
// choose where a job runs. Amounts of CPU are in thousandths of a core.
type Load struct {
	Capacity       int64 `json:"cap"`            // of reachable workers that are not draining and whose zone is in use
	Committed      int64 `json:"com"`            // reserved by placed tasks and wanted by startable ones, without backfill tasks
	BackfillDemand int64 `json:"wait,omitempty"` // wanted by startable backfill tasks that are not placed
	// BackfillCapacity is the CPU that backfill tasks of an image could use now without
	// bringing a service over its latency target. The entry without a name applies to
	// images that have no entry.
	BackfillCapacity []ImageCapacity `json:"rooms,omitempty"`
	// FreeWorkers holds the free capacity of the workers with the most free CPU, and
	// SpareWorkers the same once the runs that end by themselves have ended and the waiting
	// long-running tasks are placed. They are empty in the load of an instance of an earlier
	// version.
	FreeWorkers  []WorkerCapacity `json:"free,omitempty"`
	SpareWorkers []WorkerCapacity `json:"spare,omitempty"`
	// Waits holds, for each priority, how long a new job waits. It is empty in the load of an
	// instance that decides nothing by it.
	Waits    []PriorityWait `json:"waits,omitempty"`
	Racks    []string       `json:"racks,omitempty"`
	Services []string       `json:"services,omitempty"`
	// Kinds are the kinds of the usable workers. They are empty in the load of an instance of an
	// earlier version, and in that of a shard without workers, which is Empty.
	Kinds []WorkerKind `json:"kinds,omitempty"`
	Empty bool         `json:"empty,omitempty"`
	// Closed is set if every worker is in a zone that is out of use. The lists and the capacity are
	// empty then.
	Closed bool `json:"closed,omitempty"`
}

// WorkerCapacity is an amount of capacity of one worker, in a short form for messages.
type WorkerCapacity struct {
	MilliCPU     int64 `json:"c"`
	MemoryMB     int64 `json:"m"`
	Accelerators int64 `json:"a,omitempty"`
	Kind         int   `json:"k,omitempty"` // index of the worker's kind in Load.Kinds
}

// PriorityWait is how long a new job of a priority waits for the accepted ones.
type PriorityWait struct {
	Priority int     `json:"p"`
	Millis   int64   `json:"w"`
	Cores    float64 `json:"c"` // cores' worth of work that the shard completes at this priority
}

// ImageCapacity is the CPU available to backfill tasks of an image.
type ImageCapacity struct {
	Image    string `json:"i,omitempty"`
	MilliCPU int64  `json:"c"`
}

// noCapacityUtilisation ranks a shard without capacity behind all others.
const noCapacityUtilisation = 1e9

// Utilisation returns the committed CPU plus more as a fraction of the capacity.
func (l *Load) Utilisation(more int64) float64 {
	if l.Capacity == 0 {
		return noCapacityUtilisation
	}
	return float64(l.Committed+more) / float64(l.Capacity)
}

// BackfillAvailable returns the CPU that backfill tasks of an image could use, less what
// waiting backfill tasks want already.
func (l *Load) BackfillAvailable(image string) int64 {
	available := int64(0)
	for _, c := range l.BackfillCapacity {
		if c.Image == image {
			available = c.MilliCPU
			break
		}
		if c.Image == "" {
			available = c.MilliCPU
		}
	}
	return available - l.BackfillDemand
}

// Fits reports whether a worker has room for a task of the step, whose queue has the service, as far
// as the load lists the workers.
func (l *Load) Fits(st *workload.Step, service string) bool {
	return l.fitsListed(l.FreeWorkers, st, service)
}

// Add counts a job that is about to be sent to the shard, by the needs of its first step. The job's queue
// has the service.
func (l *Load) Add(j *workload.Spec, service string) {
	l.addWaits(j)
	st := &j.Steps[0]
	if st.Backfill {
		l.BackfillDemand += st.MilliCPU()
		return
	}
	l.Committed += st.MilliCPU()
	if st.LongRunning {
		for range min(st.Tasks, maxListedWorkers) {
			l.FreeWorkers = l.reserveListed(l.FreeWorkers, st, service)
			l.SpareWorkers = l.reserveListed(l.SpareWorkers, st, service)
		}
	}
}

const (
	// loadMaxAge is how long a computed load is reused. Pings and new jobs ask for it much
	// more often.
	loadMaxAge = 100 * time.Millisecond
	// backfillCapacityMaxAge is the same for the backfill capacity, which costs more to
	// compute.
	backfillCapacityMaxAge = 400 * time.Millisecond
	// maxBackfillImages bounds the entries of Load.BackfillCapacity.
	maxBackfillImages = 32
	// maxListedWorkers bounds the entries of Load.FreeWorkers and of Load.SpareWorkers, but for
	// the minListedWorkers of each kind.
	maxListedWorkers = 8
	minListedWorkers = 2
)

// Load returns the shard's load, which may be as old as loadMaxAge.
func (s *Shard) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now-s.backfillCapacityAt > backfillCapacityMaxAge && s.cfg.OtherShards != nil {
		s.backfillCapacity, s.backfillCapacityAt = s.computeBackfillCapacity(now), now
	}
	l := s.currentLoad(now)
	l.Waits = s.priorityWaits(now)
	l.BackfillCapacity = s.backfillCapacity
	return l
}

// currentLoad returns the load without the backfill capacity, computed at most loadMaxAge ago.
// The caller holds the lock.
func (s *Shard) currentLoad(now time.Duration) Load {
	if now-s.cachedLoadAt > loadMaxAge {
		s.cachedLoad, s.cachedLoadAt = s.computeLoad(now), now
		s.cfg.JobMemory.set(s, s.heldBytes())
	}
	return s.cachedLoad
}

// computeLoad returns the load without the backfill capacity. The caller holds the lock.
func (s *Shard) computeLoad(now time.Duration) Load {
	l := Load{Closed: s.closed()}
	for _, h := range s.hosts {
		if !s.usable(h, now) {
			continue
		}
		kind := l.addKind(h)
		if kind >= 0 && s.mayPlaceOn(h, now) {
			free := h.free()
			l.FreeWorkers = listWorker(l.FreeWorkers, workerCapacity(free, kind))
			l.SpareWorkers = listWorker(l.SpareWorkers, workerCapacity(free.Add(h.finiteRunsCapacity()), kind))
		}
		if h.unreachableSince > 0 {
			continue
		}
		l.Capacity += h.Capacity.MilliCPU
		if !slices.Contains(l.Racks, h.Rack) {
			l.Racks = append(l.Racks, h.Rack)
		}
		if !slices.Contains(l.Services, h.Service) {
			l.Services = append(l.Services, h.Service)
		}
	}
	l.Empty = len(l.Kinds) == 0
	l.FreeWorkers, l.SpareWorkers = trimListed(l.FreeWorkers, len(l.Kinds)), trimListed(l.SpareWorkers, len(l.Kinds))
	for _, j := range s.jobs {
		service := s.serviceOf(j)
		for k := range j.tasks {
			for step := range j.spec.Steps {
				l.addStep(j, service, k, step)
			}
		}
	}
	return l
}

// addStep counts the tasks of a step of occurrence k of j, whose queue has the service.
func (l *Load) addStep(j *job, service string, k, step int) {
	startable := j.active() && j.dependenciesDone(k, step)
	for _, t := range j.stepTasks(k, step) {
		waiting := startable && t.Phase == workload.Pending
		if waiting || t.Phase == workload.Placed {
			l.Committed += t.step.Committed().MilliCPU
		}
		if waiting && t.step.LongRunning {
			l.SpareWorkers = l.reserveListed(l.SpareWorkers, t.step, service)
		}
		if waiting && t.step.Backfill {
			l.BackfillDemand += t.step.Needs.MilliCPU
		}
	}
}

// typicalSeconds is how long a backfill run typically lasts, rounded up.
const typicalSeconds = 2

// computeBackfillCapacity sums, for each backfill image, the CPU that each host could give
// to it.
func (s *Shard) computeBackfillCapacity(now time.Duration) []ImageCapacity {
	capacities := []ImageCapacity{{}}
	for _, image := range s.colocation.BackfillImages() {
		if len(capacities) < maxBackfillImages {
			capacities = append(capacities, ImageCapacity{Image: image})
		}
	}
	for _, h := range s.hosts {
		idle := h.Capacity.MilliCPU - h.usedCPU()
		if !h.acceptsRuns(now) || idle <= 0 || s.zones.closed[h.Zone] {
			continue
		}
		imageHeadrooms := s.headrooms(h, now, typicalSeconds)
		for i := range capacities {
			maxShare := s.maxShareFor(capacities[i].Image, imageHeadrooms)
			capacities[i].MilliCPU += min(idle, int64(max(0, maxShare)*float64(h.Capacity.MilliCPU)))
		}
	}
	return capacities
}
