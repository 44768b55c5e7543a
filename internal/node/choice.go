package node

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/workload"
)

const (
	// newGain is how much lower, as a share of its capacity, another shard's load has
	// to be for a new job to go there at once. Loads are some hundred milliseconds
	// old, in which jobs of about that size arrive.
	newGain = 0.05
	// waitingGain is the same for a job that has waited.
	waitingGain = 0.15
	// gatherSlack is how far above the mean load the gathering of an image may bring
	// a shard: the size of two jobs of fourteen tasks. Short tasks need the rest.
	gatherSlack = 0.04
	// gatherFree is the load up to which images are gathered whatever the mean is:
	// with a third left, what comes next still finds room.
	gatherFree = 0.7
	// gatherMost is the load above which nothing is gathered. Tasks of a fifth of a
	// worker leave about a seventh of it unused.
	gatherMost = 0.85
)

// choice is a choice among shards for one job, by their loads.
type choice struct {
	own     string
	service string // whose workers the job needs
	loads   map[string]dispatch.Load
}

// forNew names the shard for a job that was just handed in. Short jobs stay: a move
// takes as long as the wait for another one's end.
func (c *choice) forNew(j *workload.Spec) string {
	st := &j.Steps[0]
	if name := c.withRack(st.Rack); name != "" {
		return name
	}
	switch {
	case st.Lasting && st.Image != "":
		return cmp.Or(c.gather(st), c.least(newGain))
	case st.Lasting:
		return c.least(newGain)
	case st.Fills:
		return c.roomiest(st, newGain)
	}
	return ""
}

// forWaiting names the shard for a job that has waited for its first run.
func (c *choice) forWaiting(j *workload.Spec) string {
	st := &j.Steps[0]
	if name := c.withRack(st.Rack); name != "" {
		return name
	}
	switch {
	case st.Fills:
		return c.roomiest(st, waitingGain)
	case st.Lasting:
		return c.least(newGain) // the room that it waits for is taken for long
	}
	return c.least(waitingGain)
}

// usable lists the shards with workers of the service, in a fixed order.
func (c *choice) usable() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.loads)) {
		if l := c.loads[name]; l.Capacity > 0 && slices.Contains(l.Services, c.service) {
			out = append(out, name)
		}
	}
	return out
}

// withRack names the shard that holds the data, if there is one.
func (c *choice) withRack(rack string) string {
	if rack == "" {
		return ""
	}
	for _, name := range c.usable() {
		if slices.Contains(c.loads[name].Racks, rack) {
			return name
		}
	}
	return ""
}

// gather names the shard for an image of serving tasks. A shard with few such images
// has hosts that serve one image alone, and so a host for more of the filling images.
// Every instance ranks the shards of an image alike; a shard that is far above the
// mean load takes no more.
func (c *choice) gather(st *workload.Step) string {
	names := c.usable()
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(st.Image+"/"+a), xxhash.Sum64String(st.Image+"/"+b))
	})
	var committed, capacity int64
	for _, name := range names {
		committed += c.loads[name].Committed
		capacity += c.loads[name].Capacity
	}
	if capacity == 0 {
		return ""
	}
	need := st.MilliCPU()
	limit := min(gatherMost, max(gatherFree, float64(committed+need)/float64(capacity)+gatherSlack))
	for _, name := range names {
		if l := c.loads[name]; l.Share(need) <= limit {
			return name
		}
	}
	return ""
}

// least names the shard with the least committed load, if it is lower than the own one
// by gain.
func (c *choice) least(gain float64) string {
	own := c.loads[c.own]
	best, least := "", own.Share(0)-gain
	if !slices.Contains(own.Services, c.service) {
		least = math.MaxFloat64
	}
	for _, name := range c.usable() {
		if l := c.loads[name]; l.Share(0) < least {
			best, least = name, l.Share(0)
		}
	}
	return best
}

// roomiest names the shard with the most room for a filling image, if it has more than
// the own one by gain of the own capacity.
func (c *choice) roomiest(st *workload.Step, gain float64) string {
	own := c.loads[c.own]
	best, most := "", own.Room(st.Image)+int64(gain*float64(own.Capacity))
	for _, name := range c.usable() {
		if l := c.loads[name]; name != c.own && (l.Room(st.Image) > most || own.Capacity == 0) {
			best, most = name, l.Room(st.Image)
		}
	}
	return best
}
