package colocation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxImages bounds the images of services, and those of backfill tasks, whose estimates are kept.
	maxImages = 256
	// maxPairs bounds the pairs of images whose weights are kept.
	maxPairs = 512
)

// evict drops the estimates of the images that were seen least recently, beyond maxImages and maxPairs:
// callers name images freely.
func (m *Model) evict() {
	if over := len(m.pairs) - maxPairs; over > 0 {
		pairs := m.recentPairs()
		for _, p := range pairs[len(pairs)-over:] {
			delete(m.pairs, p)
		}
	}
	evictOldest(m.baselines, m.seen)
	evictOldest(m.fullShares, m.seen)
	if len(m.seen) > 4*maxImages {
		maps.DeleteFunc(m.seen, func(image string, _ time.Duration) bool {
			_, service := m.baselines[image]
			_, backfill := m.fullShares[image]
			return !service && !backfill
		})
	}
}

// evictOldest drops the images of estimates that were seen least recently, beyond maxImages.
func evictOldest(estimates map[string]float64, seen map[string]time.Duration) {
	over := len(estimates) - maxImages
	if over <= 0 {
		return
	}
	images := slices.SortedFunc(maps.Keys(estimates), func(a, b string) int {
		return cmp.Or(cmp.Compare(seen[a], seen[b]), cmp.Compare(a, b))
	})
	for _, image := range images[:over] {
		delete(estimates, image)
	}
}

// recentPairs returns the pairs, those first whose images were seen together most recently.
func (m *Model) recentPairs() []pair {
	seen := func(p pair) time.Duration { return min(m.seen[p.backfill], m.seen[p.service]) }
	return slices.SortedFunc(maps.Keys(m.pairs), func(a, b pair) int {
		return cmp.Or(-cmp.Compare(seen(a), seen(b)), cmp.Compare(a.backfill, b.backfill), cmp.Compare(a.service, b.service))
	})
}
