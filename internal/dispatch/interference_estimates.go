package dispatch

import (
	"context"
	"math"
	"time"

	"skylarkport/internal/pause"
)

// estimatesStoreInterval is how often the interference estimates are stored, with a commit
// that is due anyway. A successor starts from the stored ones.
const estimatesStoreInterval = 4 * time.Second

// InterferenceEstimates are the interference estimates of a shard, as they are stored
// and sent to other shards.
type InterferenceEstimates struct {
	BaselineTails map[string]float64 `json:"quiet"` // lowest tail latency of each service image, milliseconds
	Pairs         []PairEstimate     `json:"pairs"`
}

// PairEstimate is the estimated weight of a backfill image next to a service image: the
// utilisation that it adds to the service per share of the host's CPU that it uses.
type PairEstimate struct {
	BackfillImage string  `json:"f"`
	ServiceImage  string  `json:"s"`
	Mean          float64 `json:"m"`
	Variance      float64 `json:"v"`
}

// estimates returns all estimates.
func (m *interferenceModel) estimates() InterferenceEstimates {
	e := InterferenceEstimates{BaselineTails: make(map[string]float64, len(m.baselineTail)), Pairs: make([]PairEstimate, 0, len(m.pairs))}
	for image, q := range m.baselineTail {
		e.BaselineTails[image] = q
	}
	for p, w := range m.pairs {
		e.Pairs = append(e.Pairs, PairEstimate{p.backfill, p.service, round(w.mean), round(w.variance)})
	}
	return e
}

// round rounds v to three decimals. Estimated weights are less precise than that.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// restore loads the estimates that an earlier owner stored.
func (m *interferenceModel) restore(e InterferenceEstimates) {
	for image, q := range e.BaselineTails {
		m.baselineTail[image] = q
	}
	for _, p := range e.Pairs {
		m.pairs[imagePair{p.BackfillImage, p.ServiceImage}] = pairWeight{p.Mean, p.Variance}
	}
}

// mergeVarianceRatio is the most that the variance of another shard's estimate may be, as a
// fraction of the own one, for the estimate to be merged. As merging raises the variance,
// the shard that an estimate came from does not merge it back.
const mergeVarianceRatio = 0.7

// merge replaces each estimate of this shard by that of another shard if the variance of the
// latter is much lower, and adopts lower baseline tails. Tasks of an image behave alike on
// every shard. It returns the number of replaced or added pairs.
func (m *interferenceModel) merge(e InterferenceEstimates) int {
	for image, q := range e.BaselineTails {
		m.observeBaseline(image, q)
	}
	n := 0
	for _, p := range e.Pairs {
		pair := imagePair{p.BackfillImage, p.ServiceImage}
		if p.Variance >= mergeVarianceRatio*m.pairWeight(pair).variance {
			continue
		}
		m.pairs[pair] = pairWeight{p.Mean, p.Variance + weightDrift}
		n++
	}
	return n
}

// InterferenceEstimates returns the interference estimates of the shard.
func (s *Shard) InterferenceEstimates() InterferenceEstimates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interference.estimates()
}

const (
	// estimatesPullInterval is the pause between requests for the estimates of other
	// shards. With two hundred pairs a response has about 10 kB.
	estimatesPullInterval = 2 * time.Second
	// estimatesPullTimeout bounds such a request.
	estimatesPullTimeout = 900 * time.Millisecond
)

// pullEstimates merges the estimates of the other shards, one after the other, until ctx
// ends.
func (s *Shard) pullEstimates(ctx context.Context) error {
	for pause.For(ctx, estimatesPullInterval) {
		tctx, cancel := context.WithTimeout(ctx, estimatesPullTimeout)
		e, err := s.cfg.OtherShards.InterferenceEstimates(tctx)
		cancel()
		if err != nil {
			logger.WithField("shard", s.cfg.Name).WithError(err).Debug("interference estimates of another shard not received")
			continue
		}
		s.mu.Lock()
		n := s.interference.merge(e)
		s.mu.Unlock()
		logger.WithField("shard", s.cfg.Name).WithField("pairs", len(e.Pairs)).WithField("adopted", n).Debug("interference estimates merged")
	}
	return nil
}
