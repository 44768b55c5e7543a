package idempotency

import (
	"context"
	"strconv"
	"time"

	"skylarkport/internal/result"
)

// own returns range n, taking it over where this entry should own it.
func (s *Store) own(ctx context.Context, n int) (*keyRange, error) {
	for {
		r, wait, err := s.lookup(n)
		if r != nil || err != nil {
			return r, err
		}
		if wait == nil {
			return s.open(ctx, n)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, result.Wrap(result.KeyStoreAway, ctx.Err(), "take-over of a key range")
		}
	}
}

// lookup returns range n where it is owned, or a channel that closes when the
// take-over in progress ends. With neither, the caller takes it over.
func (s *Store) lookup(n int) (*keyRange, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.owned[n]; r != nil {
		if !r.deposed() {
			return r, nil, nil
		}
		delete(s.owned, n)
		s.calm[n] = s.now() + calmTime
		go r.log.Close()
	}
	if wait := s.opened[n]; wait != nil {
		return nil, wait, nil
	}
	if s.ownerOf(n).ID != s.cfg.Group.Self().ID {
		return nil, nil, result.Errorf(result.NotOwner, "key range %d", n)
	}
	if s.now() < settleTime {
		return nil, nil, result.Errorf(result.NotOwner, "the entry has just started")
	}
	if s.now() < s.calm[n] {
		return nil, nil, result.Errorf(result.NotOwner, "key range %d was taken over by another entry", n)
	}
	s.opened[n] = make(chan struct{})
	return nil, nil, nil
}

func (s *Store) open(ctx context.Context, n int) (*keyRange, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), openTimeout)
	defer cancel()
	name := journalStart + strconv.Itoa(n)
	r, err := openRange(ctx, s.cfg.Tables, s.cfg.Objects, name, s.cfg.Group.Self().Instance, s.now)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.opened[n])
	delete(s.opened, n)
	if err != nil {
		return nil, result.Wrap(result.KeyStoreAway, err, "take-over of a key range")
	}
	s.owned[n] = r
	logger.WithField("range", n).WithField("epoch", r.log.Epoch()).Info("took a key range over")
	return r, nil
}

// Run takes over the ranges that this entry should own, tends them, and gives
// up those that another should own. At the end of ctx it gives all of them up.
func (s *Store) Run(ctx context.Context) error {
	t := time.NewTicker(tendEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.releaseAll()
			return nil
		case <-t.C:
			s.tend(ctx)
		}
	}
}

func (s *Store) tend(ctx context.Context) {
	self := s.cfg.Group.Self().ID
	for n := range s.cfg.Ranges {
		if ctx.Err() != nil {
			return
		}
		if s.ownerOf(n).ID != self {
			s.release(ctx, n)
			continue
		}
		r, err := s.own(ctx, n)
		if err != nil {
			logger.WithError(err).WithField("range", n).Debug("a key range is not owned")
			continue
		}
		if err := r.tend(ctx); err != nil {
			logger.WithError(err).WithField("range", n).Debug("a key range was not trimmed")
		}
	}
}

// release gives range n up, so that its next owner takes over at once.
func (s *Store) release(ctx context.Context, n int) {
	s.mu.Lock()
	r := s.owned[n]
	delete(s.owned, n)
	s.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	if err := r.log.Release(ctx); err != nil {
		logger.WithError(err).WithField("range", n).Debug("a key range was not given up")
	}
}

func (s *Store) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	for n := range s.cfg.Ranges {
		s.release(ctx, n)
	}
}

// Owned returns the number of ranges that this entry owns.
func (s *Store) Owned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owned)
}
