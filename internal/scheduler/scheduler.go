// Package scheduler joins the parts of a scheduler process: the ownership of
// its zone's shards, the intake of jobs, the operators' view and the feed of
// routes.
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
	kickTimeout = time.Second
	kicksAtOnce = 16
)

// Platform is the contracts that a scheduler uses.
type Platform struct {
	Tables    contract.Tables
	Objects   contract.Objects
	Instances contract.Instances
	Workers   contract.Workers
}

// Scheduler is a scheduler process without its listeners.
type Scheduler struct {
	fleet   *shard.Fleet
	zone    *shard.Zone
	group   member.Group
	local   *intake.LocalShards
	backend *intake.Backend
	kicks   chan struct{}
}

// New joins the parts. It is called before the group runs. current returns the
// bundle in force, or nil.
func New(cfg *settings.Scheduler, group member.Group, p Platform, current func() *bundle.Bundle, logger log.Interface) *Scheduler {
	s := &Scheduler{
		fleet: shard.NewFleet(p.Instances, cfg.Shards),
		group: group, kicks: make(chan struct{}, kicksAtOnce),
	}
	ext := func(name string) shard.Platform {
		return shard.Platform{
			Tables: p.Tables, Objects: p.Objects, Workers: p.Workers, Bundle: current,
			OtherShardFor: func(spec *job.Spec) (string, bool) { return s.fleet.OtherShardFor(spec, name) },
			Fleet:         func() []contract.Instance { return s.fleet.WorkersOf(name) },
		}
	}
	policy := func() shard.Policy { return shard.NewPolicy(placementOf(current())) }
	s.zone = shard.NewZone(shardConfig(cfg, group.Self()), cfg.Shards, group, ext, policy, logger)
	s.local = intake.NewLocalShards(s.zone, group)
	in := intake.New(p.Tables, cfg.Zones, cfg.Shards, s.fleet, s.kick)
	s.backend = intake.NewBackend(in, s.local, group, func() uint64 { return versionOf(current()) })
	group.Handle(feed.Method, s.routes)
	return s
}

func shardConfig(cfg *settings.Scheduler, self member.Peer) shard.Config {
	return shard.Config{
		Zone: cfg.Zone, Owner: shard.OwnerID(self),
		LeaseDuration: cfg.Grant.D(), LeaseBound: max(cfg.Promise.Latency, cfg.Promise.Batch).D(),
		ExchangeInterval: cfg.Exchange.D(), CycleInterval: cfg.Cycle.D(), CommitWindow: cfg.Commit.D(),
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

// Backend returns what the operator API answers from.
func (s *Scheduler) Backend() *intake.Backend { return s.backend }

// Run works until ctx ends, and hands every shard over before it returns.
func (s *Scheduler) Run(ctx context.Context) error {
	list, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = s.fleet.Run(list) }()
	return s.zone.Run(ctx)
}

// kick tells the owners of the shards, here or at peers, that their inboxes have
// news. It is only a hint: owners read their inboxes anyway.
func (s *Scheduler) kick(shards []string) {
	s.local.WakeInbox(shards)
	byPeer := map[string][]string{}
	for _, name := range shards {
		if peer, ok := s.zone.OwnerOf(name); ok {
			byPeer[peer] = append(byPeer[peer], name)
		}
	}
	for peer, names := range byPeer {
		select {
		case s.kicks <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-s.kicks }()
			ctx, cancel := context.WithTimeout(context.Background(), kickTimeout)
			defer cancel()
			_ = s.group.Call(ctx, peer, intake.MethodWake, intake.WakeRequest{Shards: names}, nil)
		}()
	}
}

// routes answers an entry with the lists that are newer than its own.
func (s *Scheduler) routes(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
	var req feed.Request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, result.Wrap(result.RequestBad, err, feed.Method)
	}
	have := make(map[string]feed.Version, len(req.Have))
	for _, h := range req.Have {
		have[h.Shard] = h.Version
	}
	reply := feed.Reply{Shards: []feed.Shard{}}
	for _, o := range s.zone.Owners() {
		if list := o.Routes(have[o.Name()]); list != nil {
			reply.Shards = append(reply.Shards, *list)
		}
	}
	return reply, nil
}
