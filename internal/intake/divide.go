package intake

import (
	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/shard"
)

// Target is a shard that may get tasks, and its workers.
type Target struct {
	Zone    string
	Shard   string
	Workers []contract.Instance
}

// Divide splits the tasks of spec into ranges: evenly over the zones that can
// hold any, and inside a zone by how many tasks the shards' workers could hold.
// It begins at a place that the job's id names, so that small jobs spread.
// Where no worker could hold a task, the tasks still go to a shard, which sets
// them aside until a worker that can appears.
func Divide(spec *job.Spec, targets []Target) []Part {
	weights := make([]int64, len(targets))
	zones := map[string]int64{}
	for i, t := range targets {
		weights[i] = holds(t.Workers, spec.Needs)
		zones[t.Zone] += weights[i]
	}
	total := level(targets, weights, zones)
	if total == 0 {
		for i := range weights {
			weights[i] = 1
		}
		total = int64(len(targets))
	}
	return ranges(spec, targets, weights, total)
}

// level scales weights so that every zone that can hold tasks weighs the same,
// and returns their sum.
func level(targets []Target, weights []int64, zones map[string]int64) int64 {
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

// ranges cuts the tasks in proportion to the weights, which sum to total.
func ranges(spec *job.Spec, targets []Target, weights []int64, total int64) []Part {
	n := len(targets)
	start := xxhash.Sum64String(spec.ID)
	offset := int64(start % uint64(total))
	first, upto := 0, int64(0)
	for first = range n {
		upto += weights[first]
		if offset < upto {
			break
		}
	}
	var parts []Part
	from, sum := 0, int64(0)
	for k := range n {
		i := (first + k) % n
		sum += weights[i]
		to := int((int64(spec.Tasks)*sum + total - 1) / total)
		if to > from {
			parts = append(parts, Part{Shard: targets[i].Shard, From: from, To: to})
			from = to
		}
	}
	return parts
}

// holds returns how many tasks the workers could hold if they were empty.
func holds(workers []contract.Instance, needs resource.Vector) int64 {
	n := int64(0)
	for _, w := range workers {
		if w.State == contract.Live {
			n += times(w.Capacity, needs)
		}
	}
	return n
}

func times(capacity, needs resource.Vector) int64 {
	const many = 1 << 20
	n := int64(many)
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

// Targets lists the shards of the zones that spec names.
func Targets(spec *job.Spec, zones []string, shards int, fleet *shard.Fleet) []Target {
	if len(spec.Zones) > 0 {
		zones = spec.Zones
	}
	var out []Target
	for _, z := range zones {
		for n := range shards {
			name := shard.Name(z, n)
			out = append(out, Target{Zone: z, Shard: name, Workers: fleet.Shard(name)})
		}
	}
	return out
}
