package dispatch

import (
	"time"
)

// imageBook holds what was learned about images: which filling image lifts the
// tail of which serving image.
type imageBook struct {
	harm map[imagePair]time.Duration // until when the pair is kept apart
}

type imagePair struct{ fills, serves string }

func newImageBook() imageBook { return imageBook{harm: map[imagePair]time.Duration{}} }

const (
	// harmKept is how long a pair that did harm is kept apart.
	harmKept = 60 * time.Second
	// Prices of a filling run beside a serving one, in units of a host's load.
	unknownPairPrice = 2.0
)

// ended notes the end of a run with success.
func (b *imageBook) ended(*task, time.Duration) {}

// pressure is the price of putting the filling run t on h.
func (b *imageBook) pressure(_ *task, h *host) float64 {
	price := 0.0
	for _, o := range h.tasks {
		if o.step.Lasting && o.step.TargetMillis > 0 {
			price += unknownPairPrice
		}
	}
	return price
}

// exposure is the price of putting the serving run t on h.
func (b *imageBook) exposure(_ *task, h *host) float64 {
	price := 0.0
	for _, o := range h.tasks {
		if o.step.Fills {
			price += unknownPairPrice
		}
	}
	return price
}

// mayFill reports whether the filling run t may go to h: not where it is known
// to do harm.
func (b *imageBook) mayFill(t *task, h *host) bool {
	for _, o := range h.tasks {
		if !o.step.Lasting || o.step.TargetMillis == 0 {
			continue
		}
		if _, ok := b.harm[imagePair{t.step.Image, o.step.Image}]; ok {
			return false
		}
	}
	return true
}
