package bundle

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
)

// boot finds the first bundle: the table's where it answers, else the highest
// that the peers offer. Until one of them answers nothing is in force.
func (k *Keeper) boot(ctx context.Context) {
	waited := time.Now().Add(bootWait)
	for ctx.Err() == nil {
		k.find(ctx, waited)
		if k.Current() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(jitter(bootPause)):
		}
	}
}

// find asks the table and every peer at once. Before waited the peers' word is
// taken only where all of them answered, so that a stale one is not the first.
func (k *Keeper) find(ctx context.Context, waited time.Time) {
	ctx, cancel := context.WithTimeout(ctx, bootWait)
	defer cancel()
	type asked struct {
		replies []getReply
		all     bool
	}
	peers := make(chan asked, 1)
	go func() {
		replies, all := k.askAll(ctx)
		peers <- asked{replies, all}
	}()
	if k.fromTable(ctx) == nil && k.Current() != nil {
		return
	}
	if got := <-peers; got.all || !time.Now().Before(waited) {
		k.fromPeers(got.replies)
	}
}

// fromTable takes what the table names. Where no bundle was ever accepted that is
// the first bundle of the settings.
func (k *Keeper) fromTable(ctx context.Context) error {
	head, _, err := k.store.current(ctx)
	if err != nil {
		return err
	}
	if head.Version > 0 {
		return k.fetch(ctx, head)
	}
	k.takeInitial()
	return nil
}

func (k *Keeper) takeInitial() {
	if k.cfg.Initial == nil {
		k.warned.Do(func() { logger.Warn("no bundle was ever accepted and the settings name no bundle_file") })
		return
	}
	k.install(k.cfg.Initial, true, &Accepted{Head: Head{Author: k.cfg.Initial.Author}})
}

// askAll asks every peer that may answer, and reports whether all did.
func (k *Keeper) askAll(ctx context.Context) ([]getReply, bool) {
	if k.cfg.Group == nil {
		return nil, false
	}
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		out []getReply
	)
	all := true
	for _, p := range k.cfg.Group.View().Peers {
		if p.State == member.Dead {
			continue
		}
		wg.Go(func() {
			var reply getReply
			err := k.cfg.Group.Call(ctx, p.ID, getMethod, getRequest{}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all = all && result.Of(err) == result.NotReady
				return
			}
			out = append(out, reply)
		})
	}
	wg.Wait()
	return out, all
}

// fromPeers takes the highest bundle of the replies that can be verified. An
// instance without any bundle has no reviewers to check its sign-offs against:
// it takes the word of its authenticated peers for the oldest step, verifies
// those after it, and asks the table later.
func (k *Keeper) fromPeers(replies []getReply) {
	slices.SortFunc(replies, func(a, b getReply) int { return cmp.Compare(b.Head.Version, a.Head.Version) })
	for _, reply := range replies {
		if reply.Head.Version == 0 {
			k.takeInitial()
		} else if err := k.takeSteps(reply.Steps); err != nil {
			logger.WithError(err).Warn("a peer's bundle was not taken")
		}
		if k.Current() != nil {
			return
		}
	}
}

// takeSteps verifies successive bundles and puts the last in force.
func (k *Keeper) takeSteps(steps []*Accepted) error {
	if len(steps) == 0 {
		return result.Errorf(result.BundleUnknown, "the peer gave no bundle")
	}
	var base *Bundle
	if steps[0].Version == 1 {
		base = k.cfg.Initial
	}
	proven := base != nil
	for _, a := range steps {
		b, err := verified(a, base)
		if err != nil {
			return err
		}
		base = b
	}
	k.install(base, proven, steps...)
	return nil
}
