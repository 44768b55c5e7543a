package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/member"
	"skylarkport/internal/route"
	"skylarkport/internal/share"
)

// Timing of the division.
const (
	shareTick = 200 * time.Millisecond // between two looks at what is needed
	shareRow  = time.Second            // between two readings of the row
	shareCall = 500 * time.Millisecond // of one call to a peer
	quietTime = 3 * time.Second        // without waiting requests until borrowed seats go back
	// listLag bounds how long after its start an instance is missing from the
	// platform's list.
	listLag = time.Minute
	// leastAsked is the smallest number of seats that a peer is asked for.
	leastAsked = 8
)

// sharing runs this entry's part of the division of slots and connections.
type sharing struct {
	entry  *Entry
	holder *share.Manager
	pool   pool
	list   atomic.Pointer[listing]

	pressed time.Duration            // when requests last waited
	renewed time.Duration            // when loans were last renewed
	read    time.Duration            // when the row was last read
	since   map[string]time.Duration // first sight of a member of the row
	seen    map[string]bool          // members that the list has held
}

// listing is the newest reading of the platform's list.
type listing struct {
	at      time.Duration
	entries map[string]bool // by instance
}

func newSharing(e *Entry) *sharing {
	s := &sharing{entry: e, since: make(map[string]time.Duration), seen: make(map[string]bool)}
	s.holder = share.NewManager(e.cfg.Instance, rand.Uint64()>>1, &s.pool)
	s.handle()
	return s
}

// apply sets the limits of the workers of a snapshot that comes into force.
func (s *sharing) apply(snap *route.Snapshot) { s.pool.cover(snap) }

// listed takes over a reading of the platform's list.
func (s *sharing) listed(list []contract.Instance) {
	l := &listing{at: s.entry.handler.Now(), entries: make(map[string]bool)}
	for _, i := range list {
		if i.Role == contract.EntryRole {
			l.entries[i.ID] = true
		}
	}
	s.list.Store(l)
}

func (s *sharing) now() time.Duration { return s.entry.handler.Now() }

// run looks after the division until ctx ends.
func (s *sharing) run(ctx context.Context) {
	s.read = -shareRow
	every(ctx, shareTick, func() { s.tick(ctx) })
}

func (s *sharing) tick(ctx context.Context) {
	now := s.now()
	s.holder.ExpireLoans(now)
	if now-s.read >= shareRow {
		s.read = now
		s.syncRow(ctx)
		s.clear(ctx)
	}
	if now-s.renewed >= share.RenewInterval {
		s.renewed = now
		s.renew(ctx)
	}
	s.balance(ctx, now)
	s.giveBack(ctx)
}

// balance borrows while requests wait, and lets borrowed seats go when none
// has waited for a while.
func (s *sharing) balance(ctx context.Context, now time.Duration) {
	if s.entry.handler.LacksSlots() {
		s.pressed = now
		s.recall(ctx)
		s.borrow(ctx)
		return
	}
	if held, _ := s.holder.BorrowedPartitions(); held != 0 && now-s.pressed >= quietTime {
		s.holder.ReleaseIdle(now, held.Len())
	}
}

// peers returns the zone's live entries.
func (s *sharing) peers() []member.Peer {
	var out []member.Peer
	for _, p := range s.entry.deps.Group.View().Peers {
		if p.Program == member.Entry && p.Zone == s.entry.cfg.Zone && p.State != member.Dead {
			out = append(out, p)
		}
	}
	return out
}

// borrow asks every peer for seats at the same time.
func (s *sharing) borrow(ctx context.Context) {
	want := max(leastAsked, s.holder.UsablePartitions(s.now()).Len())
	s.each(ctx, s.peers(), func(ctx context.Context, p member.Peer) {
		s.holder.BeginBorrow()
		asked := s.now()
		var l share.Loan
		err := s.call(ctx, p.Instance, methodBorrow, borrowRequest{Want: want}, &l)
		if err != nil || l.Partitions == 0 {
			s.holder.AbortBorrow()
			return
		}
		s.holder.CompleteBorrow(s.now(), asked, p.Instance, l)
		s.entry.handler.Wake()
	})
}

// each calls f for every peer at the same time and waits for all.
func (s *sharing) each(ctx context.Context, peers []member.Peer, f func(ctx context.Context, p member.Peer)) {
	ctx, cancel := context.WithTimeout(ctx, shareCall)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { f(ctx, p) })
	}
	wg.Wait()
}

// send tells every instance in loans what concerns it. A lost message is
// covered by the end of the loan.
func (s *sharing) send(ctx context.Context, method string, loans map[string][]share.Loan, answered func(peer string, asked time.Duration, stand []share.Loan)) {
	ctx, cancel := context.WithTimeout(ctx, shareCall)
	defer cancel()
	var wg sync.WaitGroup
	for peer, l := range loans {
		wg.Go(func() {
			asked := s.now()
			var stand []share.Loan
			err := s.call(ctx, peer, method, loansMessage{Loans: l}, &stand)
			if err == nil && answered != nil {
				answered(peer, asked, stand)
			}
		})
	}
	wg.Wait()
}

func (s *sharing) recall(ctx context.Context) {
	if s.holder.LentPartitions() != 0 {
		s.send(ctx, methodRecall, s.holder.Recall(), nil)
	}
}

func (s *sharing) renew(ctx context.Context) {
	s.send(ctx, methodRenew, s.holder.RenewableLoans(), func(peer string, asked time.Duration, stand []share.Loan) {
		s.holder.HandleRenewal(s.now(), asked, peer, stand)
	})
}

func (s *sharing) giveBack(ctx context.Context) {
	if loans := s.holder.TakeReturnable(s.now()); len(loans) > 0 {
		s.send(ctx, methodReturn, loans, nil)
	}
}

func (s *sharing) call(ctx context.Context, instance, method string, params, reply any) error {
	return s.entry.deps.Group.Call(ctx, instance+"/"+string(member.Entry), method, params, reply)
}
