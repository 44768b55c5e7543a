package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/workload"
)

const (
	// newJobMinGain is how much lower another shard's load must be, as a fraction of
	// its capacity, for a new job to move there at once. Reported loads are a few
	// hundred milliseconds old, and jobs of about this size arrive in that time.
	newJobMinGain = 0.05
	// waitingJobMinGain is the same for a job that has waited for its first run.
	waitingJobMinGain = 0.15
	// consolidationSlack is how far the load of a shard, as a fraction of its
	// capacity, may rise above the mean load of the shards of the service when the
	// long-running tasks of an image are consolidated in it. It is the size of two
	// jobs of fourteen tasks. The remaining capacity is left to short tasks.
	consolidationSlack = 0.04
	// consolidationFreeLoad is the load of a shard up to which images are
	// consolidated in it whatever the mean load is. The remaining third of the
	// capacity suffices for the next jobs.
	consolidationFreeLoad = 0.7
	// consolidationMaxLoad is the load above which no image is consolidated. Tasks
	// that need a fifth of a worker leave about a seventh of it unused, so that a
	// shard is practically full at this load.
	consolidationMaxLoad = 0.85
)

// ShardSelector selects a shard for one job by the loads of all shards.
type ShardSelector struct {
	Own      string
	Service  string // the service whose workers run the job
	Priority int    // that of the job's queue
	Loads    map[string]Load
	ByGap    bool // a short job that fits no worker here moves to one where it fits
}

// ForNewJob returns the shard for a newly submitted job, or "" to keep it. Short jobs
// stay: moving one takes as long as waiting for another short job to end.
func (c *ShardSelector) ForNewJob(j *workload.Spec) string {
	st, names := &j.Steps[0], c.ableShards(j)
	if name, ok := c.required(j, names); ok {
		return name
	}
	switch {
	case st.LongRunning && st.Image != "":
		return cmp.Or(c.shardForImage(st, names), c.leastLoadedShard(newJobMinGain, names))
	case st.LongRunning:
		return c.leastLoadedShard(newJobMinGain, names)
	case st.Backfill:
		return c.mostBackfillCapacity(st, newJobMinGain, names)
	}
	return ""
}

// required returns the shard that the rack of the job's data requires or, if the own shard is not able to run the
// job, any of the able shards, "" for none. It reports whether there is such a requirement.
func (c *ShardSelector) required(j *workload.Spec, able []string) (string, bool) {
	st := &j.Steps[0]
	if name := c.shardWithRack(st.Rack, able); name != "" {
		return name, true
	}
	if !c.ownIsAble(j) {
		return c.anyShard(st, able), true
	}
	return "", false
}

// WithRoom returns the other shard with the shortest wait for a job of the priority, or "" if the
// wait is not accepted. A job whose data are in one rack has no choice.
func (c *ShardSelector) WithRoom(j *workload.Spec, accepted func(wait time.Duration) bool) string {
	best, shortest := "", time.Duration(0)
	if j.Steps[0].Rack != "" {
		return ""
	}
	for _, name := range c.ableShards(j) {
		l := c.Loads[name]
		if wait, ok := l.Wait(c.Priority); ok && name != c.Own && accepted(wait) && (best == "" || wait < shortest) {
			best, shortest = name, wait
		}
	}
	return best
}

// ForWaitingJob returns the shard for a job that has waited for its first run, or "" to
// keep it.
func (c *ShardSelector) ForWaitingJob(j *workload.Spec) string {
	st, names := &j.Steps[0], c.ableShards(j)
	if name, ok := c.required(j, names); ok {
		return name
	}
	switch {
	case st.Backfill:
		return c.mostBackfillCapacity(st, waitingJobMinGain, names)
	case st.LongRunning:
		return c.leastLoadedShard(newJobMinGain, names) // long-running tasks do not free the capacity it waits for soon
	}
	if name := c.shardWithGap(st, names); name != "" {
		return name
	}
	return c.leastLoadedShard(waitingJobMinGain, names)
}

// ableShards lists, by name, the shards whose workers can run all steps of the job or, if none can, those that
// can run its first one.
func (c *ShardSelector) ableShards(j *workload.Spec) []string {
	var first, all []string
	for _, name := range slices.Sorted(maps.Keys(c.Loads)) {
		l := c.Loads[name]
		if l.Capacity == 0 || !l.CanRun(&j.Steps[0], c.Service) {
			continue
		}
		first = append(first, name)
		if l.canRunAll(j, c.Service) {
			all = append(all, name)
		}
	}
	if len(all) > 0 {
		return all
	}
	return first
}

// ownIsAble reports whether the workers of the own shard can run the job, or its first step where no
// shard can run all.
func (c *ShardSelector) ownIsAble(j *workload.Spec) bool {
	own := c.Loads[c.Own]
	if own.canRunAll(j, c.Service) {
		return true
	}
	able := c.ableShards(j)
	return slices.Contains(able, c.Own) || len(able) == 0 && own.CanRun(&j.Steps[0], c.Service)
}

// shardWithRack returns the shard whose workers include the rack that holds the job's
// data, or "".
func (c *ShardSelector) shardWithRack(rack string, names []string) string {
	if rack == "" {
		return ""
	}
	for _, name := range names {
		if slices.Contains(c.Loads[name].Racks, rack) {
			return name
		}
	}
	return ""
}

// shardForImage returns the shard that should run all long-running tasks of an
// image, or "". A backfill image slows some long-running images down and not others.
// With few long-running images in a shard, some workers run only one of them, and so
// more of the backfill images find a worker whose image they do not slow down. All
// instances rank the shards of an image in the same order, by hash; a shard far above
// the mean load is skipped.
func (c *ShardSelector) shardForImage(st *workload.Step, names []string) string {
	names = slices.Clone(names)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(st.Image+"/"+a), xxhash.Sum64String(st.Image+"/"+b))
	})
	var committed, capacity int64
	for _, name := range names {
		committed += c.Loads[name].Committed
		capacity += c.Loads[name].Capacity
	}
	if capacity == 0 {
		return ""
	}
	need := st.MilliCPU()
	limit := min(consolidationMaxLoad, max(consolidationFreeLoad, float64(committed+need)/float64(capacity)+consolidationSlack))
	for _, name := range names {
		if l := c.Loads[name]; l.Utilisation(need) <= limit {
			return name
		}
	}
	return ""
}

// leastLoadedShard returns the shard with the lowest committed load if that is lower
// than the own shard's by more than gain, or "".
func (c *ShardSelector) leastLoadedShard(gain float64, names []string) string {
	own := c.Loads[c.Own]
	best, leastLoad := "", own.Utilisation(0)-gain
	for _, name := range names {
		if l := c.Loads[name]; l.Utilisation(0) < leastLoad {
			best, leastLoad = name, l.Utilisation(0)
		}
	}
	return best
}

// shardWithGap returns the least loaded shard with a worker that could take a task of the step now,
// if no worker of the own shard could, or "".
func (c *ShardSelector) shardWithGap(st *workload.Step, names []string) string {
	if own := c.Loads[c.Own]; !c.ByGap || own.Fits(st, c.Service) {
		return ""
	}
	best := ""
	for _, name := range names {
		l, lowest := c.Loads[name], c.Loads[best]
		if l.Fits(st, c.Service) && (best == "" || l.Utilisation(0) < lowest.Utilisation(0)) {
			best = name
		}
	}
	return best
}

// Borrower returns the other shard that should run the task of the loan, or "".
func (c *ShardSelector) Borrower(r *LoanRequest) string {
	names := slices.DeleteFunc(c.ableShards(&r.Spec), func(name string) bool { return name == c.Own })
	return ChooseBorrower(r, c.Service, c.Loads, names)
}

// DescribeLoads lists the other shards that can run the task of the loan with the load that it would
// bring them to, for the log. The loads of shards that are not listed are too old.
func (c *ShardSelector) DescribeLoads(r *LoanRequest) string {
	var out []string
	for _, name := range c.ableShards(&r.Spec) {
		if name == c.Own {
			continue
		}
		l := c.Loads[name]
		entry := fmt.Sprintf("%s %.3f", name, l.Utilisation(r.Spec.Steps[0].MilliCPU()))
		if len(l.FreeWorkers) > 0 {
			entry += fmt.Sprintf(" (%d free on one worker)", l.FreeWorkers[0].MilliCPU)
		}
		if slices.Contains(r.RefusedBy, name) {
			entry += " returned it"
		}
		out = append(out, entry)
	}
	return strings.Join(out, ", ")
}

// mostBackfillCapacity returns the shard with the most free capacity for a backfill
// image if that exceeds the own shard's by more than gain times the own capacity, or "".
func (c *ShardSelector) mostBackfillCapacity(st *workload.Step, gain float64, names []string) string {
	own := c.Loads[c.Own]
	best, most := "", own.BackfillAvailable(st.Image)+int64(gain*float64(own.Capacity))
	for _, name := range names {
		if l := c.Loads[name]; name != c.Own && (l.BackfillAvailable(st.Image) > most || own.Capacity == 0) {
			best, most = name, l.BackfillAvailable(st.Image)
		}
	}
	return best
}

// anyShard returns the shard for a job that the own shard cannot run: the one with the most room for
// it, however full that is. It returns "" if there is none.
func (c *ShardSelector) anyShard(st *workload.Step, names []string) string {
	if st.LongRunning && st.Image != "" {
		if name := c.shardForImage(st, names); name != "" {
			return name
		}
	}
	if !st.Backfill {
		return leastLoaded(c.Loads, names, func(*Load) bool { return true })
	}
	best, most := "", int64(math.MinInt64)
	for _, name := range names {
		if l := c.Loads[name]; l.BackfillAvailable(st.Image) > most {
			best, most = name, l.BackfillAvailable(st.Image)
		}
	}
	return best
}
