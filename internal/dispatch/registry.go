package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
)

const (
	// registryWait is how long one read of the registry waits for changes. It bounds the
	// time until a broken connection is noticed: a draining worker must get no start later
	// than two seconds after its notice.
	registryWait = 900 * time.Millisecond
	// registryPause lets changes that arrive together be processed together.
	registryPause = 100 * time.Millisecond
	// registryMaxAge is how old the registry may be as read if workers get starts that don't check
	// their capacity. A capacity that has shrunk must be kept to within the three seconds of an
	// owner's contact and one registration of the worker.
	registryMaxAge = 2500 * time.Millisecond
)

// watchRegistry keeps the hosts up to date with the registry until ctx ends.
func (s *Shard) watchRegistry(ctx context.Context) error {
	prefetched := s.cfg.Prefetched
	for {
		requestedAt := s.now()
		rows, version, err := s.readRegistry(ctx, prefetched)
		if err != nil {
			return err
		}
		if prefetched != nil {
			requestedAt, prefetched, s.cfg.Prefetched = prefetched.registryAt, nil, nil
			s.cfg.Handoff = nil
		}
		s.syncHosts(rows)
		s.confirmRegistry(requestedAt)
		if err := s.followRegistry(ctx, version); err != nil && ctx.Err() == nil {
			logger.WithField("shard", s.cfg.Name).WithError(err).Debug("reading of registry changes failed, reading all entries")
		}
		if !pause.For(ctx, registryPause) {
			return context.Cause(ctx)
		}
	}
}

// readRegistry returns the registry's rows, as prefetched or else from the store, and the version
// from which the changes continue.
func (s *Shard) readRegistry(ctx context.Context, p *Prefetched) ([]fleet.Row, int64, error) {
	if p != nil {
		return p.registry, p.registryVersion, nil
	}
	return s.readAll(ctx, s.cfg.Registry.Table(), "")
}

// followRegistry processes the changes after version until a read fails.
func (s *Shard) followRegistry(ctx context.Context, version int64) error {
	for {
		requestedAt := s.now()
		c, err := s.cfg.Store.Changes(ctx, s.cfg.Registry.Table(), version, registryWait)
		if err != nil {
			return err
		}
		version = c.Version
		if len(c.Rows) > 0 {
			s.updateHosts(c.Rows)
		}
		s.confirmRegistry(requestedAt)
		if len(c.Rows) == 0 {
			continue
		}
		if !pause.For(ctx, registryPause) {
			return context.Cause(ctx)
		}
	}
}

// confirmRegistry records that the hosts agree with the registry as of the given time.
func (s *Shard) confirmRegistry(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stale := s.registryStale(s.now())
	s.registryAt = at
	if stale {
		s.wakeCommitLoop() // starts that waited for it may be placed
	}
}

// registryStale reports whether workers may have shrunk without being noticed here.
func (s *Shard) registryStale(now time.Duration) bool { return now-s.registryAt > registryMaxAge }

// syncHosts updates the hosts to a complete list of the registry.
func (s *Shard) syncHosts(rows []fleet.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = s.applyEntry(r)
	}
	for id := range s.hosts {
		if !listed[id] {
			s.unlistHost(id)
		}
	}
	s.wakeCommitLoop()
}

// updateHosts applies changed registry entries.
func (s *Shard) updateHosts(rows []fleet.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if !s.applyEntry(r) {
			s.unlistHost(r.Key)
		}
	}
	s.wakeCommitLoop()
}

// applyEntry registers the worker that r describes, and reports whether it is one of the
// shard.
func (s *Shard) applyEntry(r fleet.Row) bool {
	if r.Deleted {
		return false
	}
	w, ok := s.cfg.Registry.Worker(r)
	if !ok || !s.cfg.BelongsToShard(w) {
		return false
	}
	s.registerHost(w)
	return true
}

// unlistHost stops placing new runs on a worker that the registry no longer lists.
func (s *Shard) unlistHost(id string) {
	h := s.hosts[id]
	if h == nil || !h.listed {
		return
	}
	h.listed = false
	logger.WithField("shard", s.cfg.Name).WithField("worker", id).WithField("runs", len(h.tasks)).Info("worker left the registry")
}

// registerHost adds or updates the host of a worker that the registry lists, and starts to
// renew its leases if that is not running yet.
func (s *Shard) registerHost(w fleet.Worker) {
	h := s.hosts[w.ID]
	if h == nil {
		s.withdrawCrash(w)
		h = s.addHost(w)
	}
	switch {
	case w.Incarnation < h.Incarnation && h.fenced:
		return // the entry is of an earlier incarnation than the one that responded
	case w.Incarnation > h.Incarnation && h.fenced:
		s.handleRestart(h, w.Incarnation)
	case h.Draining != w.Draining:
		logger.WithField("worker", w.ID).WithField("draining", w.Draining).Info("worker started or stopped draining")
		for _, t := range h.tasks {
			t.drainKept = false // the next plan looks for another worker
		}
	}
	h.entryOf = w.Incarnation
	incarnation := max(h.Incarnation, w.Incarnation)
	if s.zones.bound > 0 {
		h.observeCold(w.Cold, s.now())
	}
	h.Worker, h.listed = w, true
	h.Incarnation = incarnation
	if h.cancel == nil {
		ctx, cancel := context.WithCancel(s.hostCtx)
		h.cancel = cancel
		s.hostWG.Go(func() { s.followWorker(ctx, h) })
	}
}

// addHost adds the host of a worker, which is unreachable until its first response.
func (s *Shard) addHost(w fleet.Worker) *host {
	h := newHost(w)
	h.unreachableSince, h.generation = s.now(), s.generation
	s.hosts[w.ID] = h
	return h
}

// handleRestart processes the restart of a worker under its old id. The runs of the earlier
// incarnation are over. A start without a response may still reach the new one, until that has accepted a
// renewal: its token is above those of all commands before.
func (s *Shard) handleRestart(h *host, incarnation int64) {
	s.recordLoss(h, lossRestarted)
	h.lastSilence, h.silenceTimedOut = s.now(), true // noticed by the next renewal
	h.resetIncarnation(incarnation)
	s.raiseToken(h)
	h.wakeFollower()
}
