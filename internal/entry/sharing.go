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

// Timing and limits of the sharing of slots.
const (
	shareInterval = 200 * time.Millisecond // interval of the loop
	rowInterval   = time.Second            // interval of reading the assignment row
	peerTimeout   = 500 * time.Millisecond // timeout of calls to peers
	returnDelay   = 3 * time.Second        // time with enough slots after which borrowed partitions are returned
	// maxListLag is the longest time after its start for which an instance may be
	// missing in the platform's list.
	maxListLag = time.Minute
	// minBorrow is the smallest number of partitions that a peer is asked for.
	minBorrow = 8
)

// sharing shares the slots and connections of the zone's workers with the other
// entries. They are divided into partitions (see package share). An entry owns
// partitions according to a row in the platform's table, and borrows more from the
// other entries while its requests wait.
type sharing struct {
	entry        *Entry
	manager      *share.Manager
	workerLimits workerLimits
	list         atomic.Pointer[instanceList]

	lackedSlotsAt time.Duration            // when the entry last lacked slots
	renewedAt     time.Duration            // when loans were last renewed
	rowReadAt     time.Duration            // when the row was last read
	firstSeen     map[string]time.Duration // when a member was first seen in the row
	wasListed     map[string]bool          // members that the platform's list contained before
}

// instanceList is the newest list of instances read from the platform.
type instanceList struct {
	readAt  time.Duration
	entries map[string]bool // instances with the role of an entry
}

func newSharing(e *Entry) *sharing {
	s := &sharing{entry: e, firstSeen: make(map[string]time.Duration), wasListed: make(map[string]bool)}
	s.manager = share.NewManager(e.cfg.Instance, rand.Uint64()>>1, &s.workerLimits)
	s.registerHandlers()
	return s
}

// applySnapshot sets the limits of the workers of a snapshot that is about to become
// current.
func (s *sharing) applySnapshot(snap *route.Snapshot) { s.workerLimits.setWorkers(snap) }

// handleInstances stores which entries the platform's list of instances contains, and
// when it was read.
func (s *sharing) handleInstances(list []contract.Instance) {
	l := &instanceList{readAt: s.entry.handler.Now(), entries: make(map[string]bool)}
	for _, i := range list {
		if i.Role == contract.EntryRole {
			l.entries[i.ID] = true
		}
	}
	s.list.Store(l)
}

func (s *sharing) now() time.Duration { return s.entry.handler.Now() }

// run is the loop of the sharing. It ends with ctx.
func (s *sharing) run(ctx context.Context) {
	s.rowReadAt = -rowInterval
	runEvery(ctx, shareInterval, func() { s.tick(ctx) })
}

func (s *sharing) tick(ctx context.Context) {
	now := s.now()
	s.manager.ExpireLoans(now)
	if now-s.rowReadAt >= rowInterval {
		s.rowReadAt = now
		s.syncRow(ctx)
		s.clearBlocked(ctx)
	}
	if now-s.renewedAt >= share.RenewInterval {
		s.renewedAt = now
		s.renewLoans(ctx)
	}
	s.balance(ctx, now)
	s.returnLoans(ctx)
}

// balance recalls lent partitions and borrows more while the entry lacks slots. It
// marks borrowed partitions for return after slots have sufficed for a while.
func (s *sharing) balance(ctx context.Context, now time.Duration) {
	if s.entry.handler.LacksSlots() {
		s.lackedSlotsAt = now
		s.recallLoans(ctx)
		s.borrow(ctx)
		return
	}
	if borrowed, _ := s.manager.BorrowedPartitions(); borrowed != 0 && now-s.lackedSlotsAt >= returnDelay {
		s.manager.ReleaseIdleBorrowed(now, borrowed.Len())
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

// borrow asks all peers concurrently for partitions: for as many as this entry can
// use now, but at least for minBorrow.
func (s *sharing) borrow(ctx context.Context) {
	want := max(minBorrow, s.manager.UsablePartitions(s.now()).Len())
	s.callEach(ctx, s.peers(), func(ctx context.Context, p member.Peer) {
		s.manager.BeginBorrow()
		sentAt := s.now()
		var l share.Loan
		err := s.call(ctx, p.Instance, methodBorrow, borrowRequest{Want: want}, &l)
		if err != nil || l.Partitions == 0 {
			s.manager.AbortBorrow()
			return
		}
		s.manager.CompleteBorrow(s.now(), sentAt, p.Instance, l)
		s.entry.handler.Wake()
	})
}

// callEach calls f for every peer concurrently and waits for all of them.
func (s *sharing) callEach(ctx context.Context, peers []member.Peer, f func(ctx context.Context, p member.Peer)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { f(ctx, p) })
	}
	wg.Wait()
}

// sendLoans calls method at every instance in loans with its loans, concurrently,
// and passes each reply to onReply. Lost messages are harmless, because loans
// expire.
func (s *sharing) sendLoans(ctx context.Context, method string, loans map[string][]share.Loan, onReply func(peer string, sentAt time.Duration, extended []share.Loan)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for peer, l := range loans {
		wg.Go(func() {
			sentAt := s.now()
			var extended []share.Loan
			err := s.call(ctx, peer, method, loansMessage{Loans: l}, &extended)
			if err == nil && onReply != nil {
				onReply(peer, sentAt, extended)
			}
		})
	}
	wg.Wait()
}

// recallLoans asks the borrowers to return all partitions that this entry has lent.
func (s *sharing) recallLoans(ctx context.Context) {
	if s.manager.LentPartitions() != 0 {
		s.sendLoans(ctx, methodRecall, s.manager.Recall(), nil)
	}
}

// renewLoans extends the loans of the borrowed partitions.
func (s *sharing) renewLoans(ctx context.Context) {
	s.sendLoans(ctx, methodRenew, s.manager.RenewableLoans(), func(peer string, sentAt time.Duration, extended []share.Loan) {
		s.manager.HandleRenewal(s.now(), sentAt, peer, extended)
	})
}

// returnLoans notifies the lenders of the partitions that this entry has stopped
// using.
func (s *sharing) returnLoans(ctx context.Context) {
	if loans := s.manager.TakeReturnable(s.now()); len(loans) > 0 {
		s.sendLoans(ctx, methodReturn, loans, nil)
	}
}

// call calls a method of the entry on instance.
func (s *sharing) call(ctx context.Context, instance, method string, params, reply any) error {
	return s.entry.deps.Group.Call(ctx, instance+"/"+string(member.Entry), method, params, reply)
}
