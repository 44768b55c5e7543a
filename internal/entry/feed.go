package entry

import (
	"context"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/feed"
	"skylarkport/internal/member"
	"skylarkport/internal/pause"
)

// pollUpstreams asks the zone's schedulers for their lists of upstreams, at an
// interval and shortly after the group of peers has changed. While no scheduler
// answers, the newest known lists stay in use.
func (e *Entry) pollUpstreams(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		e.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.deps.Group.Changed():
			pause.For(ctx, pollInterval/10)
		}
	}
}

// pollOnce asks every scheduler of the zone once, concurrently. Each reply is merged
// as soon as it arrives.
func (e *Entry) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	known := e.table.FeedRequest()
	var wg sync.WaitGroup
	for _, p := range e.deps.Group.View().Peers {
		if p.Program != member.Scheduler || p.Zone != e.cfg.Zone || p.State == member.Dead {
			continue
		}
		wg.Go(func() { e.pollScheduler(ctx, p.ID, known) })
	}
	wg.Wait()
}

// pollScheduler asks one scheduler for the lists that are newer than known, and
// merges them into the routing table.
func (e *Entry) pollScheduler(ctx context.Context, peer string, known feed.Request) {
	var reply feed.Reply
	if err := e.deps.Group.Call(ctx, peer, feed.Method, known, &reply); err != nil {
		logger.WithError(err).WithField("peer", peer).Debug("cannot get the list of upstreams")
		return
	}
	if e.table.Merge(reply, e.handler.Now()) {
		logger.WithField("version", e.table.Current().Version).Debug("list of upstreams updated")
		e.handler.Wake()
	}
}

// watchInstances reads the platform's instance list at an interval. If a call fails,
// the last list stays in use.
func (e *Entry) watchInstances(ctx context.Context) {
	runEvery(ctx, instanceListInterval, func() {
		call, cancel := context.WithTimeout(ctx, instanceListInterval)
		defer cancel()
		list, err := e.deps.Instances.List(call)
		if err != nil {
			logger.WithError(err).Debug("cannot read the instance list")
			return
		}
		e.handleInstances(list)
	})
}

// handleInstances marks the workers that are leaving in the routing table, and passes
// the list on to the sharing of slots.
func (e *Entry) handleInstances(list []contract.Instance) {
	leaving := make(map[string]bool)
	for _, i := range list {
		if i.Role == contract.WorkerRole && i.State == contract.Leaving {
			leaving[i.ID] = true
		}
	}
	e.table.SetLeaving(leaving)
	e.slotSharing.handleInstances(list)
}
