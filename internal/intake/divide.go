package intake

import (
	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/shard"
)

// Target is a shard that may be assigned tasks, with its workers.
type Target struct {
	Zone    string
	Shard   string
	Workers []contract.Instance
}

// Divide splits the tasks of spec into ranges for the shards: evenly over the zones that
// have capacity for any, and within a zone in proportion to the number of tasks that
// the shards' workers have capacity for. A hash of the job's id selects the shard that
// gets the first range, so that small jobs are distributed over the shards. If no
// worker has the capacity for a task, the tasks are divided evenly; their shards set
// them aside until a suitable worker appears.
func Divide(spec *job.Spec, targets []Target) []TaskRange {
	weights := make([]int64, len(targets))
	zones := map[string]int64{}
	for i, t := range targets {
		weights[i] = taskCapacity(t.Workers, spec.Needs)
		zones[t.Zone] += weights[i]
	}
	total := equalizeZones(targets, weights, zones)
	if total == 0 {
		for i := range weights {
			weights[i] = 1
		}
		total = int64(len(targets))
	}
	return splitByWeight(spec, targets, weights, total)
}

// equalizeZones scales weights so that every zone with capacity for tasks has the same
// total weight. It returns the sum of the weights.
func equalizeZones(targets []Target, weights []int64, zones map[string]int64) int64 {
	const zoneWeight = 1 << 20
	total := int64(0)
	for i, t := range targets {
		if zones[t.Zone] > 0 {
			weights[i] = weights[i] * zoneWeight / zones[t.Zone]
		}
		total += weights[i]
	}
	return total
}

// splitByWeight splits the tasks in proportion to the weights, whose sum is total.
func splitByWeight(spec *job.Spec, targets []Target, weights []int64, total int64) []TaskRange {
	n := len(targets)
	start := xxhash.Sum64String(spec.ID)
	offset := int64(start % uint64(total))
	first, end := 0, int64(0)
	for first = range n {
		end += weights[first]
		if offset < end {
			break
		}
	}
	var parts []TaskRange
	from, sum := 0, int64(0)
	for k := range n {
		i := (first + k) % n
		sum += weights[i]
		to := int((int64(spec.Tasks)*sum + total - 1) / total)
		if to > from {
			parts = append(parts, TaskRange{Shard: targets[i].Shard, From: from, To: to})
			from = to
		}
	}
	return parts
}

// taskCapacity returns how many tasks the live workers could run at the same time if
// they were idle.
func taskCapacity(workers []contract.Instance, needs resource.Vector) int64 {
	n := int64(0)
	for _, w := range workers {
		if w.State == contract.Live {
			n += tasksPerWorker(w.Capacity, needs)
		}
	}
	return n
}

func tasksPerWorker(capacity, needs resource.Vector) int64 {
	const unlimited = 1 << 20
	n := int64(unlimited)
	for _, d := range [][2]int64{
		{capacity.MilliCPU, needs.MilliCPU},
		{capacity.MemoryMB, needs.MemoryMB},
		{capacity.Accelerators, needs.Accelerators},
	} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return n
}

// Targets lists the shards of the zones that spec names, or of all zones if it names
// none.
func Targets(spec *job.Spec, zones []string, shards int, fleet *shard.Fleet) []Target {
	if len(spec.Zones) > 0 {
		zones = spec.Zones
	}
	var out []Target
	for _, z := range zones {
		for n := range shards {
			name := shard.Name(z, n)
			out = append(out, Target{Zone: z, Shard: name, Workers: fleet.WorkersOf(name)})
		}
	}
	return out
}
