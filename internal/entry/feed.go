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

// pollFeeds asks the zone's schedulers for their lists. Where none answers, the
// lists that are held stay in force.
func (e *Entry) pollFeeds(ctx context.Context) {
	t := time.NewTicker(feedEvery)
	defer t.Stop()
	for {
		e.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.deps.Group.Changed():
			pause.For(ctx, feedEvery/10)
		}
	}
}

// pollOnce asks every scheduler of the zone once, all at the same time. Each
// answer counts as soon as it is there.
func (e *Entry) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, feedCall)
	defer cancel()
	have := e.table.Have()
	var wg sync.WaitGroup
	for _, p := range e.deps.Group.View().Peers {
		if p.Program != member.Scheduler || p.Zone != e.cfg.Zone || p.State == member.Dead {
			continue
		}
		wg.Go(func() { e.ask(ctx, p.ID, have) })
	}
	wg.Wait()
}

func (e *Entry) ask(ctx context.Context, peer string, have feed.Request) {
	var reply feed.Reply
	if err := e.deps.Group.Call(ctx, peer, feed.Method, have, &reply); err != nil {
		logger.WithError(err).WithField("peer", peer).Debug("no list of upstreams")
		return
	}
	if e.table.Merge(reply, e.handler.Now()) {
		logger.WithField("version", e.table.Current().Version).Debug("new list of upstreams")
		e.handler.Wake()
	}
}

// watchList reads the platform's instance list. A failed reading leaves what
// is known in force.
func (e *Entry) watchList(ctx context.Context) {
	every(ctx, listEvery, func() {
		call, cancel := context.WithTimeout(ctx, listEvery)
		defer cancel()
		list, err := e.deps.Instances.List(call)
		if err != nil {
			logger.WithError(err).Debug("no instance list")
			return
		}
		e.listed(list)
	})
}

func (e *Entry) listed(list []contract.Instance) {
	leaving := make(map[string]bool)
	for _, i := range list {
		if i.Role == contract.WorkerRole && i.State == contract.Leaving {
			leaving[i.ID] = true
		}
	}
	e.table.SetLeaving(leaving)
	e.shares.listed(list)
}
