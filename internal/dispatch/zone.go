package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// ZoneSettings say how a shard learns which availability zones are out of use.
type ZoneSettings struct {
	Source fleet.ZoneSource
	Known  []string      // all zones of the deployment
	Bound  time.Duration // after this time no run may start in a zone taken out of use; 0 for a deployment without such zones
}

// zoneView is what an owner knows about the zones that are out of use.
//
// It answers a load in which an operator empties a zone at any moment, also while the store is
// slow, answers some instances only, or shards change their owners. An owner starts a run only if
// it has read the requests a short time ago, shorter than the bound. So no owner starts a
// run in a zone too late, whatever it has missed.
type zoneView struct {
	bound  time.Duration   // as ZoneSettings.Bound
	closed map[string]bool // zones out of use
	read   bool            // the requests have been read
	readAt time.Duration   // when the last successful read began
}

// maxAge is how old the view may be at a start. The rest of the bound is left to the command's way
// to the worker.
func (v *zoneView) maxAge() time.Duration { return v.bound * 4 / 5 }

// interval is the pause between two reads of the requests. Several may fail before the view is too
// old.
func (v *zoneView) interval() time.Duration { return v.bound / 5 }

// stale reports whether zones may have been taken out of use for too long without being noticed.
func (v *zoneView) stale(now time.Duration) bool {
	return v.bound > 0 && (!v.read || now-v.readAt > v.maxAge())
}

// allows reports whether runs may start in a zone.
func (v *zoneView) allows(zone string, now time.Duration) bool {
	return !v.closed[zone] && !v.stale(now)
}

// update puts the zones of a read in force that began at the given time, and returns those
// that have been taken out of use since the last one and those that are back.
func (v *zoneView) update(closed map[string]bool, at time.Duration) (taken, back []string) {
	for zone := range closed {
		if !v.closed[zone] {
			taken = append(taken, zone)
		}
	}
	for zone := range v.closed {
		if !closed[zone] {
			back = append(back, zone)
		}
	}
	v.closed, v.read, v.readAt = closed, true, at
	return taken, back
}

// watchZones reads the zones that are out of use until ctx ends.
func (s *Shard) watchZones(ctx context.Context) error {
	for {
		wait := s.zones.interval()
		if err := s.readZones(ctx); err != nil {
			logger.WithField("shard", s.cfg.Name).WithError(err).Debug("reading the zones out of use failed")
			wait = readRetry
		}
		if !pause.For(ctx, wait) {
			return context.Cause(ctx)
		}
	}
}

// readZones reads the zones that are out of use once.
func (s *Shard) readZones(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := s.now()
	table, from, to := s.cfg.Zones.Source.Location()
	p, err := s.cfg.Store.Range(ctx, table, "", from, to, 0)
	if err != nil {
		return err
	}
	s.applyZones(s.decodeZones(p.Rows), requestedAt)
	return nil
}

// decodeZones returns the zones that the rows take out of use.
func (s *Shard) decodeZones(rows []fleet.Row) map[string]bool {
	closed := map[string]bool{}
	for _, r := range rows {
		zone, err := s.cfg.Zones.Source.Zone(r)
		if zone == "" {
			continue
		}
		closed[zone] = true
		if s.zones.closed[zone] {
			continue // logged when it was first read
		}
		if err != nil {
			logger.WithField("shard", s.cfg.Name).WithField("zone", zone).WithError(err).Error("content of a request for a zone is not readable")
		}
	}
	return closed
}

// applyZones puts a reading of the zones out of use in force that began at the given time.
func (s *Shard) applyZones(closed map[string]bool, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasStale := s.zones.stale(s.now())
	taken, back := s.zones.update(closed, at)
	for _, zone := range taken {
		s.logZone(zone).Info("zone out of use")
	}
	for _, zone := range back {
		s.logZone(zone).Info("zone in use again")
	}
	if len(taken)+len(back) > 0 {
		s.cachedLoadAt = 0 // computed anew, so that the other shards learn it with the next ping
		s.cfg.Metrics.ZonesOutOfUse(s.cfg.Name, len(closed))
	}
	if wasStale || len(taken)+len(back) > 0 {
		s.wakeCommitLoop()
	}
}

// logZone returns a log entry about a zone. A zone that is none of the deployment has the code
// ZoneUnknown; its request has no effect.
func (s *Shard) logZone(zone string) *log.Entry {
	entry := logger.WithField("shard", s.cfg.Name).WithField("zone", zone).WithField("epoch", s.cfg.Epoch)
	for _, known := range s.cfg.Zones.Known {
		if known == zone {
			return entry
		}
	}
	return entry.WithError(result.Errorf(result.ZoneUnknown, "zone %q", zone))
}

// closed reports whether every worker of the shard that could take runs is in a zone out of use.
// The caller holds the lock.
func (s *Shard) closed() bool {
	if len(s.zones.closed) == 0 {
		return false
	}
	listed := false
	for _, h := range s.hosts {
		if !h.listed || h.Draining {
			continue
		}
		if !s.zones.closed[h.Zone] {
			return false
		}
		listed = true
	}
	return listed
}

// zoneAllows reports whether the start of t may be sent to h as far as the zone is concerned. The
// zone may have been taken out of use since the placement was decided.
func (s *Shard) zoneAllows(t *task, h *host, now time.Duration) bool {
	if s.zones.allows(h.Zone, now) {
		return true
	}
	s.cfg.Metrics.StartTurnedAway()
	logger.WithField("task", t.name).WithField("worker", h.ID).WithField("zone", h.Zone).Debug("start withheld, as the zone is out of use or may be")
	return false
}

// logZoneWait reports the startable tasks that wait in a closed shard. The caller holds the lock.
func (s *Shard) logZoneWait(waiting int) {
	if s.zones.bound == 0 {
		return
	}
	if !s.closed() {
		waiting = 0
	}
	s.cfg.Metrics.WaitingForZone(s.cfg.Name, waiting)
}

const (
	// maxMovesFromClosed and maxLoansFromClosed bound the jobs and tasks on their way to other
	// shards while the own one is closed. All that waits there has to leave, and the loads of the
	// others are known as of the last ping.
	maxMovesFromClosed = 16
	maxLoansFromClosed = 64
)

// maxMoves returns the limit of moves in flight. The caller holds the lock.
func (s *Shard) maxMoves() int {
	if s.closed() {
		return maxMovesFromClosed
	}
	return maxMovesInFlight
}

// moveDelay is how long a job waits for its first run before it may move. The caller holds the
// lock.
func (s *Shard) moveDelay() time.Duration {
	if s.closed() {
		return 0
	}
	return moveAfter
}

// refusesNew reports whether a new job has to be refused because no zone with workers for it is in
// use. Nobody knows when it could start; its caller can submit it again. A scheduled job is
// accepted, as it is due later. It must be called without the lock, as it takes the locks of shards to
// read their loads.
func (s *Shard) refusesNew(a *workload.Accepted) bool {
	if a.Moved || a.Loan != nil || a.Spec.Timed() || s.hasJob(a.Spec.ID) {
		return false
	}
	s.mu.Lock()
	closed := s.closed()
	s.mu.Unlock()
	return closed && (s.cfg.OtherShards == nil || !s.cfg.OtherShards.InUse())
}
