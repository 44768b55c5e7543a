package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// Prefetched holds the rows of a shard that an instance read before it owned the shard, while
// the earlier owner served. It answers handovers over links of a few megabits per second. The new
// owner completes it by what the earlier owner has stored since, see Handoff, or else by reading the
// progress rows again; a job's accepted row is written once.
type Prefetched struct {
	progress map[string]fleet.Row // by job id
	accepted map[string]fleet.Row // of the jobs whose specifications are needed
	version  int64                // the progress rows are complete up to this version

	registry        []fleet.Row
	registryVersion int64
	registryAt      time.Duration // when the registry was asked for
}

// Version returns the version of the store up to which the rows are complete.
func (p *Prefetched) Version() int64 { return p.version }

// Prefetch reads the rows of the shard that the settings name. It needs no epoch.
func Prefetch(ctx context.Context, cfg Settings) (*Prefetched, error) {
	s := New(cfg)
	release, err := s.cfg.StoreLink.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	p := &Prefetched{progress: map[string]fleet.Row{}, accepted: map[string]fleet.Row{}}
	progress, version, err := s.readAll(ctx, TableProgress, s.cfg.Name)
	if err != nil {
		return nil, err
	}
	p.version = version
	needed := map[string]bool{}
	for _, r := range progress {
		p.progress[r.Key] = r
		record, err := workload.DecodeRecord(r.Value)
		needed[r.Key] = err == nil && needsSpec(&record)
	}
	accepted, err := s.readAccepted(ctx, progress, func(key string) bool { return needed[key] })
	if err != nil {
		return nil, err
	}
	for _, r := range accepted {
		p.accepted[r.Key] = r
	}
	p.registryAt = s.now()
	p.registry, p.registryVersion, err = s.readAll(ctx, s.cfg.Registry.Table(), "")
	return p, err
}

// complete adds the rows of a handoff. It reports whether the rows are then those of the shard: the
// heartbeat row, as read after the claim, has to be that of the handoff's last commit, and the handoff
// has to list all changes after the prefetch.
func (p *Prefetched) complete(h *Handoff, heartbeat heartbeatRow) bool {
	if h == nil || h.Since > p.version || h.Epoch != heartbeat.Epoch || h.Seq != heartbeat.Seq {
		return false
	}
	for _, id := range h.Dropped {
		delete(p.progress, id)
		delete(p.accepted, id)
	}
	for _, j := range h.Jobs {
		p.progress[j.ID] = fleet.Row{Table: TableProgress, Key: j.ID, Value: j.Progress}
		if len(j.Accepted) > 0 {
			p.accepted[j.ID] = fleet.Row{Table: TableAccepted, Key: j.ID, Value: j.Accepted}
		}
	}
	return true
}

// rows returns the progress rows in ascending order of their keys.
func (p *Prefetched) rows() []fleet.Row {
	return slices.SortedFunc(maps.Values(p.progress), func(a, b fleet.Row) int { return strings.Compare(a.Key, b.Key) })
}

// readProgress returns the progress rows of the shard, from the prefetch and the handoff or, without
// them, from the store. Accepted rows that were read before are returned as well.
func (s *Shard) readProgress(ctx context.Context, heartbeat heartbeatRow) (progress []fleet.Row, known map[string]fleet.Row, err error) {
	p := s.cfg.Prefetched
	if p != nil && p.complete(s.cfg.Handoff, heartbeat) {
		s.loadedByHandoff = true
		return p.rows(), p.accepted, nil
	}
	progress, _, err = s.readAll(ctx, TableProgress, s.cfg.Name)
	if p == nil || err != nil {
		return progress, nil, err
	}
	logger.WithField("shard", s.cfg.Name).WithField("handed", s.cfg.Handoff != nil).Info("progress read again after the prefetch")
	known = map[string]fleet.Row{}
	for _, r := range progress {
		if a, ok := p.accepted[r.Key]; ok {
			known[r.Key] = a
		}
	}
	return progress, known, nil
}
