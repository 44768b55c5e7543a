// Package scheduler assembles a scheduler process: ownership of its zone's
// shards, job submission, the operator API and the feed of service routes to the
// entries.
package scheduler

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/feed"
	"skylarkport/internal/intake"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
	"skylarkport/internal/shard"
)

const (
	wakeTimeout        = time.Second
	maxConcurrentWakes = 16
)

// Platform holds the interfaces of the platform that a scheduler uses.
type Platform struct {
	Tables    contract.Tables
	Objects   contract.Objects
	Instances contract.Instances
	Workers   contract.Workers
}

// Scheduler is a scheduler without its network listeners and signal handling.
type Scheduler struct {
	fleet     *shard.Fleet
	zone      *shard.Zone
	group     member.Group
	local     *intake.LocalShards
	backend   *intake.Backend
	wakeSlots chan struct{}
}

// New returns a scheduler and registers its methods with group, so it must be
// called before the group runs. current returns the bundle in force, or nil if
// there is none.
func New(cfg *settings.Scheduler, group member.Group, p Platform, current func() *bundle.Bundle, logger log.Interface) *Scheduler {
	s := &Scheduler{
		fleet: shard.NewFleet(p.Instances, cfg.Shards),
		group: group, wakeSlots: make(chan struct{}, maxConcurrentWakes),
	}
	platformFor := func(name string) shard.Platform {
		return shard.Platform{
			Tables: p.Tables, Objects: p.Objects, Workers: p.Workers, Bundle: current,
			OtherShardFor: func(spec *job.Spec) (string, bool) { return s.fleet.OtherShardFor(spec, name) },
			Fleet:         func() []contract.Instance { return s.fleet.WorkersOf(name) },
		}
	}
	policy := func() shard.Policy { return shard.NewPolicy(placementOf(current())) }
	s.zone = shard.NewZone(shardConfig(cfg, group.Self()), cfg.Shards, group, platformFor, policy, logger)
	s.local = intake.NewLocalShards(s.zone, group)
	intakeService := intake.New(p.Tables, cfg.Zones, cfg.Shards, s.fleet, s.wakeOwners)
	s.backend = intake.NewBackend(intakeService, s.local, group, func() uint64 { return versionOf(current()) })
	group.Handle(feed.Method, s.handleRoutesRequest)
	return s
}

func shardConfig(cfg *settings.Scheduler, self member.Peer) shard.Config {
	return shard.Config{
		Zone: cfg.Zone, Owner: shard.OwnerID(self),
		LeaseDuration: cfg.ShortLease.D(), LeaseBound: max(cfg.LongLeases.Latency, cfg.LongLeases.Batch).D(),
		ExchangeInterval: cfg.ExchangeInterval.D(), CycleInterval: cfg.CycleInterval.D(), CommitWindow: cfg.CommitWindow.D(),
	}
}

func placementOf(b *bundle.Bundle) bundle.Placement {
	if b == nil {
		return bundle.Placement{}
	}
	return b.Placement
}

func versionOf(b *bundle.Bundle) uint64 {
	if b == nil {
		return 0
	}
	return b.Version
}

// Backend returns the backend of the operator API.
func (s *Scheduler) Backend() *intake.Backend { return s.backend }

// Run owns shards until ctx ends and hands every shard over before it returns.
// The instance list is kept up to date until the handover is complete.
func (s *Scheduler) Run(ctx context.Context) error {
	fleetCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = s.fleet.Run(fleetCtx) }()
	return s.zone.Run(ctx)
}

// wakeOwners wakes the owners of the shards, in this process or at peers, to
// read their inboxes. It is only a hint, dropped when too many calls are in
// progress or when a call fails, because owners also read their inboxes
// periodically.
func (s *Scheduler) wakeOwners(shards []string) {
	s.local.WakeInbox(shards)
	byPeer := map[string][]string{}
	for _, name := range shards {
		if peer, ok := s.zone.OwnerOf(name); ok {
			byPeer[peer] = append(byPeer[peer], name)
		}
	}
	for peer, names := range byPeer {
		select {
		case s.wakeSlots <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-s.wakeSlots }()
			ctx, cancel := context.WithTimeout(context.Background(), wakeTimeout)
			defer cancel()
			_ = s.group.Call(ctx, peer, intake.MethodWake, intake.WakeRequest{Shards: names}, nil)
		}()
	}
}

// handleRoutesRequest sends an entry, a process that forwards requests to services.
// For each shard owned here, the reply lists all upstreams, unless the entry has the
// current version of that list already.
func (s *Scheduler) handleRoutesRequest(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
	var req feed.Request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, result.Wrap(result.RequestBad, err, feed.Method)
	}
	knownVersions := make(map[string]feed.Version, len(req.KnownVersions))
	for _, known := range req.KnownVersions {
		knownVersions[known.Shard] = known.Version
	}
	reply := feed.Reply{Shards: []feed.ShardList{}}
	for _, o := range s.zone.Owners() {
		if list := o.Routes(knownVersions[o.Name()]); list != nil {
			reply.Shards = append(reply.Shards, *list)
		}
	}
	return reply, nil
}
