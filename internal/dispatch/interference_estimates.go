package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/pause"
)

// estimatesStoreInterval is how often the interference estimates are stored, with a commit
// that is due anyway. A successor starts from the stored ones.
const estimatesStoreInterval = 4 * time.Second

// InterferenceEstimates returns the interference estimates of the shard.
func (s *Shard) InterferenceEstimates() colocation.Estimates {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.colocation.Estimates()
}

const (
	// estimatesPullInterval is the pause between requests for the estimates of other
	// shards. With two hundred pairs a response has about 14 kB.
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
		n := s.colocation.Merge(e)
		s.mu.Unlock()
		logger.WithField("shard", s.cfg.Name).WithField("pairs", len(e.Pairs)).WithField("adopted", n).Debug("interference estimates merged")
	}
	return nil
}
