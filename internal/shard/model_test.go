package shard

import (
	"fmt"
	"testing"
	"time"

	"skylarkport/internal/lease"
)

// The model has two schedulers, one table, one worker and one task. Any of them may
// pause for any time, because no step is ever forced. A commit or message arrives at
// once and gets a response, or it suffers a fault: its response is lost, or it arrives at
// any later time or never. The number of faults is bounded. Time is counted in whole
// seconds. A second attempt counts as running elsewhere as soon as its decision is in
// the table, because a reachable worker could start it at once.
const (
	modelLease     = 2 * time.Second
	modelBound     = 3 * time.Second
	modelEnd       = 5       // seconds; the clock starts at 1
	maxModelStates = 600_000 // states
	maxTrims       = 1
	maxSeq         = 6
)

// rules switches off single rules, to show that the check fails without them, and
// bounds the search.
type rules struct {
	epochs            int8 // maximum number of ownerships
	faults            int8 // maximum number of faults
	noOwnerCheck      bool // a commit checks that its row is absent, not the owner row
	noTakeoverWait    bool // a successor does not wait until its predecessor's lease bound has passed
	noEpochCheck      bool // the worker accepts messages of old epochs
	leaseFromArrival  bool // a lease counts from its arrival at the worker
	retryNextSequence bool // after a lost response, the next sequence number is used
	noLeaseBound      bool // leases are not limited by the lease bound
}

// op is the kind of a journal row.
type op uint8

const (
	opNone op = iota
	opLeaseBound
	opPlace
	opEnd
)

// modelRow is a journal row or a commit in flight.
type modelRow struct {
	op           op
	owner        int8 // 1 or 2
	epoch        int8
	seq          int8
	ownerVersion int8 // version of the owner row that the commit checks
	sent         int8 // when the commit was first sent
}

// modelOwner is the knowledge of one scheduler as the shard's owner.
type modelOwner struct {
	active                   bool
	epoch, ownerVersion      int8
	nextSeq                  int8
	attempt                  int8 // newest attempt that it placed
	ended                    bool
	pending                  modelRow // the commit in progress; there is one at a time
	lost                     bool     // the response to pending was lost
	leaseBound               time.Duration
	stamp                    int8 // 0 for none
	received                 int8
	leaseExpiry, priorExpiry time.Duration
	unanswered               time.Duration
	unansweredStamp          int8
	reportedEnd              bool
}

// modelMessage is an exchange in flight to the worker.
type modelMessage struct {
	owner, epoch int8
	stamp        int8 // 0: the message has no lease and only asks for a timestamp
	end          int8 // stamp + duration of the lease
	start        int8 // attempt; 0 for none
}

type model struct {
	now          int8
	faults       int8
	ownerVersion int8
	epoch        int8
	firstSeq     int8
	tableNextSeq int8
	rows         [maxSeq]modelRow
	inFlight     [2]modelRow
	owner        [2]modelOwner
	msg          [2]modelMessage
	// The state that the rows in the table give.
	placedAttempt int8
	tableEnded    bool
	bounded       bool
	// The worker.
	workerEpoch   int8
	workerStamp   int8
	leaseEnd      int8
	running       int8 // attempt; 0 for none
	newestAttempt int8
}

func sec(n int8) time.Duration { return time.Duration(n) * time.Second }

// runsTwoAttempts reports whether the worker still runs attempt 1 although the journal
// has placed attempt 2. That is the violation that explore searches for.
func (m *model) runsTwoAttempts() bool { return m.placedAttempt == 2 && m.running == 1 }

// next calls f with every state that can follow m.
func (m model) next(r rules, f func(model)) {
	if m.now < modelEnd {
		f(m.tick())
	}
	for i := range m.owner {
		m.ownerSteps(r, int8(i), f)
	}
	for i := range m.inFlight {
		if m.inFlight[i].op != opNone {
			n := m
			n.inFlight[i] = modelRow{}
			n.applyCommit(r, m.inFlight[i])
			f(n)
		}
	}
	for i := range m.msg {
		if m.msg[i].owner != 0 {
			n := m
			n.msg[i] = modelMessage{}
			n.deliver(r, m.msg[i])
			f(n)
		}
	}
}

func (m model) tick() model {
	m.now++
	if m.running != 0 && m.now >= m.leaseEnd {
		m.running = 0
	}
	return m
}

func (m model) ownerSteps(r rules, i int8, f func(model)) {
	o := &m.owner[i]
	if !o.active {
		if m.epoch < r.epochs && (i == 0 || m.epoch > 0) {
			f(m.takeOver(r, i))
		}
		return
	}
	if o.pending.op != opNone {
		if o.lost {
			m.resolveLostResponse(r, i, f)
		}
	} else {
		m.propose(r, i, f)
		if o.nextSeq > m.firstSeq && m.ownerVersion == o.ownerVersion && m.ownerVersion-m.epoch < maxTrims {
			f(m.trim(i))
		}
	}
	m.send(r, i, f)
}

// takeOver makes instance i the owner: it writes the owner row with a new epoch and reads
// the log, as journal.Open does.
func (m model) takeOver(r rules, i int8) model {
	m.epoch++
	m.ownerVersion++
	o := modelOwner{active: true, epoch: m.epoch, ownerVersion: m.ownerVersion, nextSeq: m.tableNextSeq, attempt: m.placedAttempt, ended: m.tableEnded}
	if m.bounded && m.placedAttempt > 0 && !m.tableEnded && !r.noTakeoverWait {
		o.priorExpiry = lease.SuccessorExpiry(sec(m.now), modelBound)
	}
	m.owner[i] = o
	return m
}

func (m model) trim(i int8) model {
	m.ownerVersion++
	m.owner[i].ownerVersion = m.ownerVersion
	m.firstSeq = m.owner[i].nextSeq
	for s := range m.rows {
		if int8(s) < m.firstSeq {
			m.rows[s] = modelRow{}
		}
	}
	return m
}

func (m model) propose(r rules, i int8, f func(model)) {
	o := &m.owner[i]
	if o.nextSeq >= maxSeq {
		return
	}
	expired := sec(m.now) > o.leaseExpiry && sec(m.now) > o.priorExpiry
	switch {
	case o.leaseBound == 0:
		m.commit(r, i, opLeaseBound, f)
	case o.attempt == 0 && o.stamp != 0 || o.attempt == 1 && o.ended:
		m.commit(r, i, opPlace, f)
	}
	if o.attempt == 1 && !o.ended && (expired || o.reportedEnd) {
		m.commit(r, i, opEnd, f)
	}
}

func (m model) commit(r rules, i int8, what op, f func(model)) {
	o := &m.owner[i]
	o.pending = modelRow{op: what, owner: i + 1, epoch: o.epoch, seq: o.nextSeq, ownerVersion: o.ownerVersion, sent: m.now}
	m.sendPending(r, i, f)
}

// sendPending sends the pending commit.
func (m model) sendPending(r rules, i int8, f func(model)) {
	c := m.owner[i].pending
	n := m
	n.owner[i].lost = false
	if n.applyCommit(r, c) {
		n.commitDurable(i)
	} else {
		n.resolveConflict(i)
	}
	f(n)
	if m.faults >= r.faults {
		return
	}
	m.faults++
	m.owner[i].lost = true
	lost := m
	lost.applyCommit(r, c)
	f(lost)
	if m.delayCommit(c) {
		f(m)
	}
}

// delayCommit keeps a commit in flight to arrive later. It reports false if inFlight
// is full.
func (m *model) delayCommit(c modelRow) bool {
	for k := range m.inFlight {
		if m.inFlight[k].op == opNone {
			m.inFlight[k] = c
			return true
		}
	}
	return false
}

// applyCommit applies a commit if its conditions hold, and reports whether they did.
func (m *model) applyCommit(r rules, c modelRow) bool {
	if !r.noOwnerCheck && c.ownerVersion != m.ownerVersion {
		return false
	}
	if m.rows[c.seq].op != opNone {
		return false
	}
	m.rows[c.seq] = c
	m.tableNextSeq = max(m.tableNextSeq, c.seq+1)
	switch c.op {
	case opLeaseBound:
		m.bounded = true
	case opPlace:
		m.placedAttempt, m.tableEnded = m.placedAttempt+1, false
	case opEnd:
		m.tableEnded = true
	}
	return true
}

// commitDurable updates the owner when its pending commit is durable.
func (m *model) commitDurable(i int8) {
	o := &m.owner[i]
	switch o.pending.op {
	case opLeaseBound:
		o.leaseBound = lease.NewBound(sec(o.pending.sent), modelBound).Until
	case opPlace:
		o.attempt, o.ended, o.reportedEnd = o.attempt+1, false, false
		o.leaseExpiry, o.priorExpiry = 0, 0 // the second attempt is placed elsewhere
	case opEnd:
		o.ended = true
	}
	o.nextSeq = o.pending.seq + 1
	o.pending, o.lost = modelRow{}, false
}

// resolveConflict reads the row after a failed condition: the commit is durable if
// the row is its own, otherwise the ownership is lost.
func (m *model) resolveConflict(i int8) {
	o := &m.owner[i]
	if m.rows[o.pending.seq] == o.pending {
		m.commitDurable(i)
		return
	}
	*o = modelOwner{} // ownership lost
}

// resolveLostResponse reads the row after a lost response. The commit is durable if the row
// is its own, and the ownership is lost if the row is another's or the owner row has
// changed. If the row is absent, the same commit is sent again.
func (m model) resolveLostResponse(r rules, i int8, f func(model)) {
	o := &m.owner[i]
	if r.retryNextSequence {
		n := m
		n.owner[i].pending, n.owner[i].lost = modelRow{}, false
		n.owner[i].nextSeq++
		f(n)
		return
	}
	switch row := m.rows[o.pending.seq]; {
	case row == o.pending:
		m.commitDurable(i)
		f(m)
	case row.op != opNone || m.ownerVersion != o.ownerVersion && !r.noOwnerCheck:
		m.owner[i] = modelOwner{}
		f(m)
	default:
		m.sendPending(r, i, f)
	}
}

// send sends an exchange to the worker, after raising the owner's leaseExpiry.
func (m model) send(r rules, i int8, f func(model)) {
	o := &m.owner[i]
	msg := modelMessage{owner: i + 1, epoch: o.epoch}
	var unanswered time.Duration
	if o.stamp != 0 {
		stamp := lease.Stamp{Worker: int64(o.stamp), Received: sec(o.received)}
		grant := lease.Bound{Until: o.leaseBound}.LeaseDuration(stamp, modelLease, false)
		if r.noLeaseBound {
			grant = modelLease
		}
		duration := grant.Truncate(time.Second)
		if duration > 0 && sec(m.now) < sec(o.received)+duration {
			msg.stamp, msg.end = o.stamp, o.stamp+int8(duration/time.Second)
			b := lease.LatestExpiry(stamp, duration)
			if o.attempt == 1 {
				o.leaseExpiry = max(o.leaseExpiry, b)
			}
			unanswered = b
			if o.attempt == 1 && !o.ended && o.pending.op != opEnd {
				msg.start = 1
			}
		}
	}
	n := m
	if n.deliver(r, msg) {
		n.handleReply(i, msg)
	}
	f(n)
	if m.faults >= r.faults {
		return
	}
	m.faults++
	o = &m.owner[i]
	if msg.stamp != 0 {
		o.unanswered, o.unansweredStamp = max(o.unanswered, unanswered), max(o.unansweredStamp, msg.stamp)
	}
	lost := m
	lost.deliver(r, msg)
	f(lost)
	for k := range m.msg {
		if m.msg[k].owner == 0 {
			m.msg[k] = msg
			f(m)
			return
		}
	}
}

// deliver delivers a message to the worker and reports whether it was accepted.
func (m *model) deliver(r rules, msg modelMessage) bool {
	if msg.epoch < m.workerEpoch && !r.noEpochCheck || msg.stamp != 0 && msg.end <= m.now && !r.leaseFromArrival {
		return false
	}
	m.workerEpoch = max(m.workerEpoch, msg.epoch)
	if msg.stamp != 0 && msg.stamp >= m.workerStamp {
		m.workerStamp, m.leaseEnd = msg.stamp, msg.end
		if r.leaseFromArrival {
			m.leaseEnd = m.now + msg.end - msg.stamp
		}
	}
	if msg.start > m.newestAttempt && msg.stamp != 0 && m.leaseEnd > m.now {
		m.running, m.newestAttempt = msg.start, msg.start
	}
	return true
}

// handleReply processes the worker's reply as Owner.handleReply does.
func (m *model) handleReply(i int8, msg modelMessage) {
	o := &m.owner[i]
	o.stamp, o.received = m.now, m.now
	if msg.stamp > o.unansweredStamp {
		o.unanswered, o.unansweredStamp = 0, 0
	}
	end := sec(m.now) + lease.AddDrift(sec(max(0, m.leaseEnd-m.now)))
	o.priorExpiry = min(o.priorExpiry, end)
	if msg.stamp != 0 && o.attempt == 1 {
		o.leaseExpiry = max(end, o.unanswered)
	}
	o.reportedEnd = o.attempt == 1 && m.newestAttempt == 1 && m.running == 0
}

// explore visits the reachable states, up to budget of them, and returns their number
// and the first that violates the rule.
func explore(r rules, budget int) (states int, violation *model) {
	start := model{now: 1}
	seen := map[model]struct{}{start: {}}
	queue := []model{start}
	for len(queue) > 0 && violation == nil && len(seen) < budget {
		m := queue[0]
		queue = queue[1:]
		m.next(r, func(n model) {
			if _, ok := seen[n]; ok {
				return
			}
			seen[n] = struct{}{}
			queue = append(queue, n)
			if n.runsTwoAttempts() && violation == nil {
				violation = &n
			}
		})
	}
	return len(seen), violation
}

// TestModel explores the journal and lease rules within a budget of states and checks
// that no task runs twice at once, and that this does happen without any of the rules.
func TestModel(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		rules rules
		bad   bool
		whole bool // every reachable state must fit the budget
	}{
		{"all rules, no fault", rules{epochs: 2}, false, true},
		{"all rules, one fault, up to the budget", rules{epochs: 2, faults: 1}, false, false},
		{"all rules, three owners, two faults, up to the budget", rules{epochs: 3, faults: 2}, false, false},
		{"no check of the owner row", rules{epochs: 2, faults: 1, noOwnerCheck: true}, true, false},
		{"no wait for the lease bound", rules{epochs: 2, noTakeoverWait: true}, true, false},
		{"leases count from their arrival", rules{epochs: 2, faults: 1, leaseFromArrival: true}, true, false},
		{"leases beyond the lease bound", rules{epochs: 2, noLeaseBound: true}, true, false},
		{"the worker accepts any epoch", rules{epochs: 2, faults: 1, noEpochCheck: true}, true, false},
		{"a lost response treated as a failure", rules{epochs: 2, faults: 1, retryNextSequence: true}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, bad := explore(tt.rules, maxModelStates)
			t.Logf("%d states", n)
			if tt.whole && n >= maxModelStates {
				t.Errorf("the budget of %d states is spent", maxModelStates)
			}
			if got := bad != nil; got != tt.bad {
				t.Errorf("two attempts at once: %v, want %v: %s", got, tt.bad, fmt.Sprintf("%+v", bad))
			}
		})
	}
}
