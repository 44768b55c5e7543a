package dispatch

import (
	"context"
	"math"
	"time"

	"skylarkport/internal/pause"
)

// bookInterval is how often what was learned is stored, with a commit that is
// due anyway; a successor starts from it.
const bookInterval = 4 * time.Second

// Lessons is what a shard has learned about images, as it is stored and passed on to
// other shards.
type Lessons struct {
	Quiet map[string]float64 `json:"quiet"` // lowest tail of a serving image, milliseconds
	Pairs []PairLesson       `json:"pairs"`
}

// PairLesson is the belief about a filling image beside a serving one.
type PairLesson struct {
	Fills    string  `json:"f"`
	Serves   string  `json:"s"`
	Mean     float64 `json:"m"`
	Variance float64 `json:"v"`
}

// lessons returns what the book holds.
func (b *imageBook) lessons() Lessons {
	l := Lessons{Quiet: make(map[string]float64, len(b.quiet)), Pairs: make([]PairLesson, 0, len(b.pairs))}
	for image, q := range b.quiet {
		l.Quiet[image] = q
	}
	for p, w := range b.pairs {
		l.Pairs = append(l.Pairs, PairLesson{p.fills, p.serves, round(w.mean), round(w.variance)})
	}
	return l
}

// round keeps three decimals, which is more than a weight is known to.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// restore takes over what an earlier owner learned.
func (b *imageBook) restore(l Lessons) {
	for image, q := range l.Quiet {
		b.quiet[image] = q
	}
	for _, p := range l.Pairs {
		b.pairs[imagePair{p.Fills, p.Serves}] = weight{p.Mean, p.Variance}
	}
}

// surer is how much lower, as a share of the own one, the variance of another shard's
// belief has to be for it to be adopted. An adopted belief does not go back.
const surer = 0.7

// adopt takes over the beliefs of another shard that are much surer than the own ones.
// Tasks of an image behave alike everywhere. It returns how many were adopted.
func (b *imageBook) adopt(l Lessons) int {
	for image, q := range l.Quiet {
		b.sawTail(image, q)
	}
	n := 0
	for _, p := range l.Pairs {
		pair := imagePair{p.Fills, p.Serves}
		if p.Variance >= surer*b.weight(pair).variance {
			continue
		}
		b.pairs[pair] = weight{p.Mean, p.Variance + weightDrift}
		n++
	}
	return n
}

// Lessons returns what the shard has learned.
func (s *Shard) Lessons() Lessons {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.images.lessons()
}

const (
	// lessonInterval is how often another shard is asked what it learned. At two
	// hundred pairs an answer has some 10 kB.
	lessonInterval = 2 * time.Second
	// lessonTimeout bounds such a call.
	lessonTimeout = 900 * time.Millisecond
)

// learnFromOthers asks the other shards in turn until ctx ends.
func (s *Shard) learnFromOthers(ctx context.Context) error {
	for pause.For(ctx, lessonInterval) {
		tctx, cancel := context.WithTimeout(ctx, lessonTimeout)
		l, err := s.cfg.Others.Lessons(tctx)
		cancel()
		if err != nil {
			logger.WithField("shard", s.cfg.Name).WithError(err).Debug("no lessons")
			continue
		}
		s.mu.Lock()
		n := s.images.adopt(l)
		s.mu.Unlock()
		logger.WithField("shard", s.cfg.Name).WithField("pairs", len(l.Pairs)).WithField("adopted", n).Debug("lessons heard")
	}
	return nil
}
