package queueorder

// Size is the size of a job among those of its queue.
type Size int

const (
	Common  Size = iota
	Large        // from largeFrom times the mean work of the queue's jobs
	Largest      // from largestFrom times the mean work
)

const (
	largeFrom   = 1.2
	largestFrom = 2
	// outcomeWindow is the number of jobs over which the share of those in time is smoothed.
	outcomeWindow = 20
	// maxBoost bounds the factor by which the density of a size that falls behind is raised.
	maxBoost = 4
)

// SizeOf returns the size of a job with the given work in a queue with that mean.
func SizeOf(work, mean float64) Size {
	switch {
	case mean <= 0 || work < largeFrom*mean:
		return Common
	case work < largestFrom*mean:
		return Large
	}
	return Largest
}

// Group is the jobs of one size in a queue.
type Group struct {
	Queue string
	Size  Size
}

// Shares keeps, by group, the share of the jobs that end in time, and raises the groups that fall
// behind their queue. It answers overload in which an order by worth per work would serve small
// jobs alone.
type Shares struct{ groups map[Group]float64 }

// NewShares returns shares without outcomes.
func NewShares() *Shares { return &Shares{groups: map[Group]float64{}} }

// Observe takes in whether a job ended in time.
func (s *Shares) Observe(g Group, inTime bool) {
	outcome := 0.0
	if inTime {
		outcome = 1
	}
	s.groups[g] = s.share(g) + (outcome-s.share(g))/outcomeWindow
}

// share is the smoothed share of the group's jobs that end in time, 1 before any outcome.
func (s *Shares) share(g Group) float64 {
	if share, ok := s.groups[g]; ok {
		return share
	}
	return 1
}

// Boost is the factor for the density of the group's jobs: the share of the best served size of the
// queue over that of the group.
func (s *Shares) Boost(g Group) float64 {
	best := 0.0
	for size := Common; size <= Largest; size++ {
		best = max(best, s.share(Group{g.Queue, size}))
	}
	return min(maxBoost, best/max(s.share(g), best/maxBoost))
}
