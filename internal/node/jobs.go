package node

import (
	"context"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

const (
	// ownerTimeout bounds one try at a shard's owner: a commit takes some 30 ms,
	// and a caller's time allows for a second try.
	ownerTimeout = 700 * time.Millisecond
	// patience is how long a request that no owner answers is tried; a takeover
	// takes about a second and a half, and callers come back.
	patience = 1400 * time.Millisecond
	// awayPatience is how long a job is tried again while the owner says that the
	// store is away: short gaps pass, others are the caller's to wait out.
	awayPatience = 300 * time.Millisecond
	// tryPause is the pause between tries.
	tryPause = 80 * time.Millisecond
	// maxHops bounds how often a job that moved between shards is followed.
	maxHops = 3
	// pendingFor is how long a count of pending jobs is used without asking.
	pendingFor = 700 * time.Millisecond
	// pendingKept is how old a count may be where the owner does not answer; the
	// platform's bound is two seconds.
	pendingKept = 1800 * time.Millisecond
)

// Submit implements fleet.Jobs.
func (n *Node) Submit(ctx context.Context, q *fleet.Queue, spec workload.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	l := n.layout.Load()
	if l == nil {
		return result.Errorf(result.NotReady, "the instance is starting")
	}
	home := l.Home(spec.ID)
	maybe := false
	began := time.Now()
	err := n.try(ctx, func(ctx context.Context) (bool, error) {
		err := n.submitOnce(ctx, home, workload.Accepted{Spec: spec})
		switch result.Of(err) {
		case result.OK, result.JobBad:
			return true, err
		case result.JobNotStored:
			return time.Since(began) > awayPatience, err
		case result.NotOwner, result.PeerAway, result.NotReady:
		default:
			maybe = true
		}
		return false, err
	})
	n.metrics.submitted(err, maybe)
	switch {
	case err == nil, result.Of(err) == result.JobBad:
	case maybe:
		err = result.Wrap(result.OutcomeUnknown, err, "the job may have been accepted")
	default:
		err = result.Wrap(result.JobNotStored, err, "the job was not accepted")
	}
	if err != nil {
		logger.WithField("job", spec.ID).WithField("queue", q.Name).WithField("shard", home).WithError(err).Info("job was not accepted")
	}
	return err
}

// try calls f until it is done or the time for it is up.
func (n *Node) try(ctx context.Context, f func(context.Context) (done bool, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		done, err := f(ctx)
		if done {
			return err
		}
		if !pause.For(ctx, tryPause) {
			return err
		}
	}
}

// submitOnce hands a job to the owner of its home, or to the shard's inbox
// where no owner answers.
func (n *Node) submitOnce(ctx context.Context, home string, a workload.Accepted) error {
	err := n.askOwner(ctx, home, SubmitRequest{Shard: home, Job: a})
	if err == nil || result.Of(err) == result.JobBad {
		return err
	}
	if result.Of(err) == result.JobNotStored || !n.storeOK() {
		return err
	}
	if inboxErr := n.submitInbox(ctx, home, a); inboxErr == nil || result.Of(inboxErr) != result.PlatformRefused {
		return inboxErr
	}
	return err
}

// askOwner hands a job to a shard's owner.
func (n *Node) askOwner(ctx context.Context, shard string, req SubmitRequest) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if n.owners.here(shard) != nil {
		return n.submitHere(ctx, &req)
	}
	var out Outcome
	if err := n.callOwner(ctx, shard, methodSubmit, req, &out); err != nil {
		return err
	}
	return out.err()
}

// callOwner calls a method of the instance that is known to own a shard.
func (n *Node) callOwner(ctx context.Context, shard, method string, in, out any) error {
	own, ok := n.owners.of(shard)
	if !ok {
		return result.Errorf(result.NotOwner, "no owner of %s is known", shard)
	}
	return n.peers.call(ctx, own.Control, method, in, out)
}

// submitHere takes a job into a shard of this instance.
func (n *Node) submitHere(ctx context.Context, r *SubmitRequest) error {
	s := n.owners.here(r.Shard)
	if s == nil {
		return result.Errorf(result.NotOwner, "shard %s", r.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return s.Accept(ctx, r.Job)
}

// submitInbox stores a job for the owner to come.
func (n *Node) submitInbox(ctx context.Context, shard string, a workload.Accepted) error {
	key := dispatch.InboxSubmit + a.Spec.ID
	if a.AtMillis == 0 {
		a.AtMillis = int64(n.storeNow())
	}
	return n.writeInbox(ctx, fleet.Tx{
		Part:   shard,
		Expect: []fleet.Row{{Table: dispatch.TableInbox, Key: key}, {Table: dispatch.TableAccepted, Key: a.Spec.ID}},
		Put:    []fleet.Row{{Table: dispatch.TableInbox, Key: key, Value: workload.Encode(a)}},
	})
}

// writeInbox commits tx. A failed condition means that the same was stored before.
func (n *Node) writeInbox(ctx context.Context, tx fleet.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := n.deps.Store.Commit(ctx, tx)
	n.noteStore(err)
	if err == nil {
		n.sawStoreClock(res.Clock)
		return nil
	}
	if contract.OutcomeOf(err) == contract.Refused {
		return result.Wrap(result.PlatformRefused, err, "inbox")
	}
	return result.Wrap(result.OutcomeUnknown, err, "inbox")
}

// State implements fleet.Jobs.
func (n *Node) State(ctx context.Context, id string) (workload.State, error) {
	r, err := n.aboutJob(ctx, id, methodState)
	return r.State, err
}

// Cancel implements fleet.Jobs.
func (n *Node) Cancel(ctx context.Context, id string) error {
	_, err := n.aboutJob(ctx, id, methodCancel)
	return err
}

// aboutJob asks the owner of a job's shard, and the store where no owner answers
// or the owner does not know the job.
func (n *Node) aboutJob(ctx context.Context, id, method string) (JobReply, error) {
	l := n.layout.Load()
	if l == nil {
		return JobReply{}, result.Errorf(result.NotReady, "the instance is starting")
	}
	var reply JobReply
	err := n.try(ctx, func(ctx context.Context) (bool, error) {
		reply = n.follow(ctx, l.Home(id), id, method)
		return reply.Code == result.OK || reply.Code == result.JobUnknown, reply.err()
	})
	switch result.Of(err) {
	case result.OK, result.JobUnknown, result.OutcomeUnknown:
	default:
		err = result.Wrap(result.NotReady, err, "no owner answers")
	}
	if err != nil && result.Of(err) != result.JobUnknown {
		logger.WithField("job", id).WithField("method", method).WithError(err).Info("job request was not answered")
	}
	return reply, err
}

// follow asks a shard about a job, and the shards to which it was moved.
func (n *Node) follow(ctx context.Context, shard, id, method string) JobReply {
	var reply JobReply
	for range maxHops {
		reply = n.askAbout(ctx, shard, id, method)
		switch reply.Code {
		case result.JobUnknown, result.NotOwner, result.PeerAway:
			reply = n.aboutStored(ctx, shard, id, method)
		}
		if reply.Moved == nil {
			return reply
		}
		shard = reply.Moved.Shard
	}
	return replyOf(result.Errorf(result.NotReady, "job %s moved too often", id))
}

func replyOf(err error) JobReply { return JobReply{Outcome: outcomeOf(err)} }

func (n *Node) askAbout(ctx context.Context, shard, id, method string) JobReply {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	req := JobRequest{Shard: shard, ID: id}
	if n.owners.here(shard) != nil {
		if method == methodCancel {
			return n.cancelHere(ctx, &req)
		}
		return n.stateHere(ctx, &req)
	}
	var out JobReply
	if err := n.callOwner(ctx, shard, method, req, &out); err != nil {
		return replyOf(err)
	}
	return out
}

// stateHere answers about a job of a shard of this instance.
func (n *Node) stateHere(ctx context.Context, r *JobRequest) JobReply {
	s := n.owners.here(r.Shard)
	if s == nil {
		return JobReply{Outcome: Outcome{Code: result.NotOwner, Detail: r.Shard}}
	}
	state, moved, err := s.State(ctx, r.ID)
	return JobReply{Outcome: outcomeOf(err), State: state, Moved: moved}
}

// cancelHere cancels a job of a shard of this instance.
func (n *Node) cancelHere(ctx context.Context, r *JobRequest) JobReply {
	s := n.owners.here(r.Shard)
	if s == nil {
		return JobReply{Outcome: Outcome{Code: result.NotOwner, Detail: r.Shard}}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	moved, err := s.Cancel(ctx, r.ID)
	return JobReply{Outcome: outcomeOf(err), Moved: moved}
}

// aboutStored answers from the shard's rows. Only they prove that a job does
// not exist: an owner may have been replaced without knowing it yet. The inbox is
// read first, as jobs go from there to the accepted ones.
func (n *Node) aboutStored(ctx context.Context, shard, id, method string) JobReply {
	inbox, err := n.owners.readRow(ctx, dispatch.TableInbox, shard, dispatch.InboxSubmit+id)
	if err != nil {
		return replyOf(result.Wrap(result.NotReady, err, "store"))
	}
	accepted, err := n.owners.readRow(ctx, dispatch.TableAccepted, shard, id)
	if err != nil {
		return replyOf(result.Wrap(result.NotReady, err, "store"))
	}
	if inbox.Version == 0 && accepted.Version == 0 {
		return replyOf(result.Errorf(result.JobUnknown, "no job %s", id))
	}
	rec := workload.Record{State: workload.Queued}
	if accepted.Version > 0 {
		if rec, err = n.readProgress(ctx, shard, id); err != nil {
			return replyOf(result.Wrap(result.NotReady, err, "store"))
		}
	}
	reply := replyOf(nil)
	switch {
	case rec.Moved != nil && rec.Moved.Confirmed:
		reply.Moved = rec.Moved
	case method == methodCancel:
		reply = replyOf(n.cancelInbox(ctx, shard, id))
	default:
		reply.State = rec.State
	}
	return reply
}

func (n *Node) readProgress(ctx context.Context, shard, id string) (workload.Record, error) {
	var rec workload.Record
	row, err := n.owners.readRow(ctx, dispatch.TableProgress, shard, id)
	if err != nil {
		return rec, err
	}
	return rec, workload.Decode(row.Value, &rec)
}

// cancelInbox stores a cancellation for the owner to come. The owner passes it on
// where the job has moved.
func (n *Node) cancelInbox(ctx context.Context, shard, id string) error {
	key := dispatch.InboxCancel + id
	return n.writeInbox(ctx, fleet.Tx{
		Part:   shard,
		Expect: []fleet.Row{{Table: dispatch.TableInbox, Key: key}},
		Put:    []fleet.Row{{Table: dispatch.TableInbox, Key: key, Value: []byte("{}")}},
	})
}

// pendingCounts caches what owners said, per shard.
type pendingCounts struct {
	mu      sync.Mutex
	byShard map[string]pendingCount
}

type pendingCount struct {
	at     time.Time
	queues map[string]int
}

// take stores the counts of the shards that an owner has loaded.
func (p *pendingCounts) take(shards map[string]map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, queues := range shards {
		p.byShard[name] = pendingCount{at: time.Now(), queues: queues}
	}
}

// of returns a shard's count that is at most age old.
func (p *pendingCounts) of(shard, queue string, age time.Duration) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byShard[shard]
	return c.queues[queue], time.Since(c.at) <= age
}

// Pending implements fleet.Jobs.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	l := n.layout.Load()
	if l == nil {
		return 0, result.Errorf(result.NotReady, "the instance is starting")
	}
	n.pendingCache.take(n.owners.pending())
	n.askPending(ctx, l.Shards(), queue)
	sum := 0
	for _, shard := range l.Shards() {
		c, ok := n.pendingCache.of(shard, queue, pendingKept)
		if !ok {
			return 0, result.Errorf(result.NotReady, "shard %s cannot be counted", shard)
		}
		sum += c
	}
	return sum, nil
}

// askPending asks the owners of the shards whose count is not fresh.
func (n *Node) askPending(ctx context.Context, shards []string, queue string) {
	var wg sync.WaitGroup
	asked := map[string]bool{n.self.Control: true}
	for _, shard := range shards {
		own, ok := n.owners.of(shard)
		if _, fresh := n.pendingCache.of(shard, queue, pendingFor); fresh || !ok || asked[own.Control] {
			continue
		}
		asked[own.Control] = true
		wg.Go(func() { n.askPendingOf(ctx, own.Control) })
	}
	wg.Wait()
}

func (n *Node) askPendingOf(ctx context.Context, control string) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var r PendingReply
	if err := n.peers.call(ctx, control, methodPending, struct{}{}, &r); err != nil {
		logger.WithField("peer", control).WithError(err).Info("pending jobs were not counted")
		return
	}
	n.pendingCache.take(r.Shards)
}
