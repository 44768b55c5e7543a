package dispatch

import (
	"context"
	"fmt"
	"time"

	"skylarkport/internal/contract/fleet"
)

const (
	// adviceAsked is how many workers a call names: the answer takes longer
	// with each.
	adviceAsked = 30
	// adviceTimeout bounds a call; the service answers one call at a time.
	adviceTimeout = 2 * time.Second
	// adviceRetry is the pause after a failed call.
	adviceRetry = 300 * time.Millisecond
	// adviceMargin is kept of a ticket's validity for the start's way.
	adviceMargin = 500 * time.Millisecond
	// maxAdvice bounds the steps that advice is kept for.
	maxAdvice = 4096
)

// advice is what the adviser said of a step.
type advice struct {
	tickets map[string]string
	until   time.Duration
	asking  bool
	retryAt time.Duration
}

// tickets returns the tickets of a step, or false while they are asked for.
func (s *Shard) tickets(t *task, q *fleet.Queue, slots []*slot, now time.Duration) (map[string]string, bool) {
	key := stepName(t)
	a := s.advised[key]
	if a == nil {
		if len(s.advised) >= maxAdvice {
			clear(s.advised)
		}
		a = &advice{}
		s.advised[key] = a
	}
	if now < a.until {
		return a.tickets, true
	}
	if a.asking || now < a.retryAt {
		s.later(now + adviceRetry)
		return nil, false
	}
	var ids []string
	for _, sl := range slots {
		if serviceFits(t, q, sl) && labelFits(t, q, sl) && len(ids) < adviceAsked {
			ids = append(ids, sl.host.ID)
		}
	}
	if len(ids) == 0 {
		return nil, false
	}
	a.asking = true
	validity := q.Advice.Validity
	s.hostWG.Go(func() { s.askAdvice(a, key, ids, validity) })
	return nil, false
}

func (s *Shard) askAdvice(a *advice, key string, ids []string, validity time.Duration) {
	ctx, cancel := context.WithTimeout(s.hostCtx, adviceTimeout)
	defer cancel()
	asked := s.now()
	tickets, err := s.cfg.Adviser.Approve(ctx, key, ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	a.asking = false
	if err != nil {
		a.retryAt = s.now() + adviceRetry
		logger.WithField("step", key).WithError(err).Info("no advice")
	} else {
		a.tickets, a.until = tickets, asked+validity-adviceMargin
	}
	s.kick()
}

// stepName is the name that the adviser knows a step by.
func stepName(t *task) string {
	return fmt.Sprintf("%s.%d.%d", t.id.Job, t.id.Occurrence, t.id.Step)
}

// forgetAdvice drops what a worker did not accept.
func (s *Shard) forgetAdvice(t *task) { delete(s.advised, stepName(t)) }
