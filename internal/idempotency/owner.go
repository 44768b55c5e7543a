package idempotency

import (
	"context"
	"strconv"
	"time"

	"skylarkport/internal/result"
)

// ensureOwned returns range n. It takes the range over first if this entry
// should own it and does not yet.
func (s *Store) ensureOwned(ctx context.Context, n int) (*keyRange, error) {
	for {
		r, wait, err := s.lookup(n)
		if r != nil || err != nil {
			return r, err
		}
		if wait == nil {
			return s.takeOver(ctx, n)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, result.Wrap(result.KeyStoreUnavailable, ctx.Err(), "wait for takeover of key range")
		}
	}
}

// lookup returns range n if this entry owns it, or a channel that is closed
// when a takeover in progress ends. If it returns neither and no error, the
// caller must call takeOver.
func (s *Store) lookup(n int) (*keyRange, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.owned[n]; r != nil {
		if !r.ownershipLost() {
			return r, nil, nil
		}
		delete(s.owned, n)
		s.retakeAfter[n] = s.now() + retakeDelay
		go r.log.Close()
	}
	if wait := s.takeovers[n]; wait != nil {
		return nil, wait, nil
	}
	if s.ownerOf(n).ID != s.cfg.Group.Self().ID {
		return nil, nil, result.Errorf(result.NotOwner, "key range %d belongs to another entry", n)
	}
	if s.now() < membershipSettleTime {
		return nil, nil, result.Errorf(result.NotOwner, "the entry has just started and takes over no key range yet")
	}
	if s.now() < s.retakeAfter[n] {
		return nil, nil, result.Errorf(result.NotOwner, "key range %d was recently taken over by another entry", n)
	}
	s.takeovers[n] = make(chan struct{})
	return nil, nil, nil
}

// takeOver takes over range n. It is not cancelled with ctx, because other
// callers may wait for it.
func (s *Store) takeOver(ctx context.Context, n int) (*keyRange, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	name := journalPrefix + strconv.Itoa(n)
	r, err := openRange(ctx, s.cfg.Tables, s.cfg.Objects, name, s.cfg.Group.Self().Instance, s.now)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.takeovers[n])
	delete(s.takeovers, n)
	if err != nil {
		return nil, result.Wrap(result.KeyStoreUnavailable, err, "take over key range")
	}
	s.owned[n] = r
	logger.WithField("range", n).WithField("epoch", r.log.Epoch()).Info("took over key range")
	return r, nil
}

// Run periodically takes over and maintains the ranges that this entry should
// own, and releases those that another entry should own. When ctx ends it
// releases all ranges.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.releaseAll()
			return nil
		case <-t.C:
			s.maintain(ctx)
		}
	}
}

// maintain releases the ranges that another entry should own, takes over those that
// this entry should own, removes their expired keys and trims their journals.
func (s *Store) maintain(ctx context.Context) {
	self := s.cfg.Group.Self().ID
	for n := range s.cfg.Ranges {
		if ctx.Err() != nil {
			return
		}
		if s.ownerOf(n).ID != self {
			s.release(ctx, n)
			continue
		}
		r, err := s.ensureOwned(ctx, n)
		if err != nil {
			logger.WithError(err).WithField("range", n).Debug("key range not owned")
			continue
		}
		if err := r.maintain(ctx); err != nil {
			logger.WithError(err).WithField("range", n).Debug("journal of key range not trimmed")
		}
	}
}

// release gives up ownership of range n, so that the next owner can take over
// immediately.
func (s *Store) release(ctx context.Context, n int) {
	s.mu.Lock()
	r := s.owned[n]
	delete(s.owned, n)
	s.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	if err := r.log.Release(ctx); err != nil {
		logger.WithError(err).WithField("range", n).Debug("key range not released")
	}
}

func (s *Store) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	for n := range s.cfg.Ranges {
		s.release(ctx, n)
	}
}

// OwnedRanges returns the number of ranges that this entry owns.
func (s *Store) OwnedRanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}
