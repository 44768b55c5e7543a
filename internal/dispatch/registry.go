package dispatch

import (
	"context"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
)

const (
	// registryWait is how long one look at the registry waits for a change. A
	// connection that went silent is noticed after it; a draining worker must take
	// no start two seconds after its notice.
	registryWait = 900 * time.Millisecond
	// registryPause gathers the changes that come together.
	registryPause = 100 * time.Millisecond
)

// watchRegistry follows the workers of the shard.
func (s *Shard) watchRegistry(ctx context.Context) error {
	for {
		rows, version, err := s.readAll(ctx, s.cfg.Registry.Table(), "")
		if err != nil {
			return err
		}
		s.listHosts(rows)
		if err := s.followRegistry(ctx, version); err != nil && ctx.Err() == nil {
			logger.WithField("shard", s.cfg.Name).WithError(err).Debug("registry is read again")
		}
		if !pause.For(ctx, registryPause) {
			return context.Cause(ctx)
		}
	}
}

// followRegistry takes in changes after version until one look fails.
func (s *Shard) followRegistry(ctx context.Context, version int64) error {
	for {
		c, err := s.cfg.Store.Changes(ctx, s.cfg.Registry.Table(), version, registryWait)
		if err != nil {
			return err
		}
		version = c.Version
		if len(c.Rows) == 0 {
			continue
		}
		s.changeHosts(c.Rows)
		if !pause.For(ctx, registryPause) {
			return context.Cause(ctx)
		}
	}
}

// listHosts brings the hosts up to all that the registry lists.
func (s *Shard) listHosts(rows []fleet.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = s.readEntry(r)
	}
	for id := range s.hosts {
		if !listed[id] {
			s.unlist(id)
		}
	}
	s.kick()
}

// changeHosts takes in entries that changed.
func (s *Shard) changeHosts(rows []fleet.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		if !s.readEntry(r) {
			s.unlist(r.Key)
		}
	}
	s.kick()
}

// readEntry reports whether r names a worker of the shard, and lists it.
func (s *Shard) readEntry(r fleet.Row) bool {
	if r.Deleted {
		return false
	}
	w, ok := s.cfg.Registry.Worker(r)
	if !ok || !s.cfg.Mine(w) {
		return false
	}
	s.listHost(w)
	return true
}

// unlist takes no new runs to a worker that the registry does not name.
func (s *Shard) unlist(id string) {
	h := s.hosts[id]
	if h == nil || !h.listed {
		return
	}
	h.listed = false
	logger.WithField("shard", s.cfg.Name).WithField("worker", id).WithField("runs", len(h.tasks)).Info("worker left the registry")
}

func (s *Shard) listHost(w fleet.Worker) {
	h := s.hosts[w.ID]
	if h == nil {
		h = newHost(w)
		h.silent = s.now() // until the first answer
		s.hosts[w.ID] = h
	}
	switch {
	case w.Life < h.Life && h.seen:
		return // an older entry than what the worker said itself
	case w.Life > h.Life && h.seen:
		s.reborn(h, w.Life)
	case h.Draining != w.Draining:
		logger.WithField("worker", w.ID).WithField("draining", w.Draining).Info("worker changed its state")
	}
	life := max(h.Life, w.Life)
	h.Worker, h.listed = w, true
	h.Life = life
	if h.cancel == nil {
		ctx, cancel := context.WithCancel(s.hostCtx)
		h.cancel = cancel
		s.hostWG.Go(func() { s.follow(ctx, h) })
	}
}

// reborn notes a new life of a worker under its old id. Runs of the old life
// are gone; starts that are still under way may yet reach the new one.
func (s *Shard) reborn(h *host, life int64) {
	logger.WithField("worker", h.ID).WithField("life", life).WithField("runs", len(h.tasks)).Info("worker has a new life")
	h.reborn(life)
	for name, late := range h.unanswered {
		if s.now() < late.until {
			s.sendStop(fleet.Order{Worker: h.Worker, Task: name, Run: late.run, Epoch: s.cfg.Epoch}, func(error) {})
		}
	}
	clear(h.unanswered)
	for _, t := range h.tasks {
		if t.stage == stageSent || t.stage == stageDoubt {
			t.stage, t.since, t.stopAnswer, t.stopWanted = stageDoubt, s.now(), 0, true
		}
	}
	h.kick()
}
