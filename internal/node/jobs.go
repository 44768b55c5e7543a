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
	// ownerTimeout bounds one call to a shard's owner. A commit takes about 30 ms, and
	// a caller's timeout leaves time for a second attempt.
	ownerTimeout = 700 * time.Millisecond
	// requestRetryBudget is how long a request is retried while no owner answers. A
	// takeover takes about 1.5 s; callers whose request fails meanwhile retry it.
	requestRetryBudget = 1400 * time.Millisecond
	// storeRetryBudget is how long a submission is retried while the owner reports the
	// store as unreachable. It covers short interruptions; callers retry after longer
	// ones.
	storeRetryBudget = 300 * time.Millisecond
	// requestRetryPause is the pause between attempts of a caller's request.
	requestRetryPause = 80 * time.Millisecond
	// maxHops bounds how many shards are asked about a job that moved between shards.
	maxHops = 3
	// pendingTTL is how long a cached count of pending jobs is used without asking the
	// shard's owner.
	pendingTTL = 700 * time.Millisecond
	// pendingMaxAge is how old a cached count may be if the owner does not answer. The
	// platform requires counts at most two seconds old.
	pendingMaxAge = 1800 * time.Millisecond
)

// Submit implements fleet.Jobs.
func (n *Node) Submit(ctx context.Context, q *fleet.Queue, spec workload.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	spec.Terms = q.Terms()
	bounds := n.bounds()
	if err := bounds.CheckSize(&workload.Accepted{Spec: spec}); err != nil {
		return err
	}
	l := n.layout.Load()
	if l == nil {
		return result.Errorf(result.NotReady, "the instance is starting")
	}
	home := l.HomeShard(spec.ID)
	mayBeAccepted := false
	began := time.Now()
	err := n.retryUntilDone(ctx, n.owners.retryBudget(home), func(ctx context.Context) (bool, error) {
		err := n.submitOnce(ctx, home, workload.Accepted{Spec: spec})
		switch result.Of(err) {
		case result.OK, result.JobBad, result.JobTooLarge, result.ZonesOutOfUse, result.JobNoRoom:
			return true, err
		case result.JobRefused:
			return time.Since(began) > storeRetryBudget, err
		case result.NotOwner, result.PeerUnavailable, result.NotReady:
		default:
			mayBeAccepted = true
		}
		return false, err
	})
	n.metrics.submitted(err, mayBeAccepted)
	switch {
	case err == nil, isInvalid(err):
	case mayBeAccepted:
		err = result.Wrap(result.OutcomeUnknown, err, "the job may have been accepted")
	case result.Of(err) == result.JobNoRoom:
		return err // the owner logs it
	default:
		err = result.Wrap(result.JobRefused, err, "the job was not accepted")
	}
	if err != nil {
		logger.WithField("job", spec.ID).WithField("queue", q.Name).WithField("shard", home).WithError(err).Info("job was not accepted")
	}
	return err
}

// isInvalid reports whether a job is refused for what it contains.
func isInvalid(err error) bool {
	return result.Of(err) == result.JobBad || result.Of(err) == result.JobTooLarge
}

// retryUntilDone calls f until it is done or the budget is used up, and returns the last
// error.
func (n *Node) retryUntilDone(ctx context.Context, budget time.Duration, f func(context.Context) (done bool, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	for {
		done, err := f(ctx)
		if done {
			return err
		}
		if !pause.For(ctx, requestRetryPause) {
			return err
		}
	}
}

// submitOnce sends a job to the owner of its home shard, or stores it in the shard's
// inbox if no owner answers.
func (n *Node) submitOnce(ctx context.Context, home string, a workload.Accepted) error {
	err := n.submitToOwner(ctx, home, SubmitRequest{Shard: home, Job: a})
	if err == nil || isInvalid(err) || result.Of(err) == result.ZonesOutOfUse {
		return err
	}
	if code := result.Of(err); code == result.JobRefused || code == result.JobNoRoom || !n.storeOK() {
		return err
	}
	if result.Of(err) != result.NotOwner && n.owners.commitsSlowly(home) {
		return err // the part of the shard would take an inbox row no sooner
	}
	if !n.owners.inboxHasRoom(home, dispatch.NewJobBytes(&a.Spec)) {
		return err
	}
	if inboxErr := n.submitInbox(ctx, home, a); inboxErr == nil || result.Of(inboxErr) != result.PlatformRefused {
		return inboxErr
	}
	return err
}

// submitToOwner sends a job to the owner of a shard.
func (n *Node) submitToOwner(ctx context.Context, shard string, req SubmitRequest) error {
	ctx, cancel := context.WithTimeout(ctx, n.owners.timeout(shard))
	defer cancel()
	if n.owners.localShard(shard) != nil {
		return n.submitLocal(ctx, &req)
	}
	var out Outcome
	if err := n.callOwner(ctx, shard, methodSubmit, req, &out); err != nil {
		return err
	}
	return out.err()
}

// callOwner calls a method of the last known owner of a shard.
func (n *Node) callOwner(ctx context.Context, shard, method string, in, out any) error {
	own, ok := n.owners.lastKnownOwner(shard)
	if !ok {
		return result.Errorf(result.NotOwner, "no owner of %s is known", shard)
	}
	return n.peers.call(ctx, own.Control, method, in, out)
}

// submitLocal accepts a job into a shard that this instance owns.
func (n *Node) submitLocal(ctx context.Context, r *SubmitRequest) error {
	s := n.owners.localShard(r.Shard)
	if s == nil {
		return result.Errorf(result.NotOwner, "shard %s", r.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, n.owners.timeout(r.Shard))
	defer cancel()
	return s.Accept(ctx, r.Job)
}

// submitInbox stores a job in the shard's inbox, from which its next owner reads it.
func (n *Node) submitInbox(ctx context.Context, shard string, a workload.Accepted) error {
	if a.AtMillis == 0 {
		a.AtMillis = int64(n.storeNow())
	}
	applied, err := n.writeInbox(ctx, dispatch.SubmitToInbox(shard, a))
	if err != nil || applied {
		return err
	}
	// The job is stored, or only its cancellation: either excludes the write.
	switch reply := n.replyFromStore(ctx, shard, a.Spec.ID, methodState); reply.Code {
	case result.OK:
		return nil
	case result.JobUnknown:
		return result.Errorf(result.JobRefused, "job %s was cancelled before it was stored", a.Spec.ID)
	default:
		return result.Wrap(result.OutcomeUnknown, reply.err(), "look for the stored job")
	}
}

// cancelInInbox stores a cancellation in the shard's inbox. If the row is there already, it stores the same.
func (n *Node) cancelInInbox(ctx context.Context, shard, id string) error {
	_, err := n.writeInbox(ctx, dispatch.CancelInInbox(shard, id))
	return err
}

// writeInbox commits tx and reports whether its conditions held.
func (n *Node) writeInbox(ctx context.Context, tx fleet.Tx) (applied bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := n.deps.Store.Commit(ctx, tx)
	n.recordStoreResult(err)
	if err == nil {
		n.observeStoreClock(res.Clock)
		return res.Applied, nil
	}
	if contract.OutcomeOf(err) == contract.Refused {
		return false, result.Wrap(result.PlatformRefused, err, "write inbox row")
	}
	return false, result.Wrap(result.OutcomeUnknown, err, "write inbox row")
}

// State implements fleet.Jobs.
func (n *Node) State(ctx context.Context, id string) (workload.State, error) {
	r, err := n.requestJob(ctx, id, methodState)
	return r.State, err
}

// Cancel implements fleet.Jobs.
func (n *Node) Cancel(ctx context.Context, id string) error {
	_, err := n.requestJob(ctx, id, methodCancel)
	return err
}

// requestJob calls a method of the owner of a job's shard. It turns to the store if no
// owner answers or the owner does not know the job.
func (n *Node) requestJob(ctx context.Context, id, method string) (JobReply, error) {
	l := n.layout.Load()
	if l == nil {
		return JobReply{}, result.Errorf(result.NotReady, "the instance is starting")
	}
	var reply JobReply
	err := n.retryUntilDone(ctx, requestRetryBudget, func(ctx context.Context) (bool, error) {
		reply = n.followMoves(ctx, l.HomeShard(id), id, method)
		return reply.Code == result.OK || reply.Code == result.JobUnknown, reply.err()
	})
	switch result.Of(err) {
	case result.OK, result.JobUnknown, result.OutcomeUnknown:
	default:
		err = result.Wrap(result.NotReady, err, "no owner of the job's shard answers")
	}
	if err != nil && result.Of(err) != result.JobUnknown {
		logger.WithField("job", id).WithField("method", method).WithError(err).Info("job request failed")
	}
	return reply, err
}

// followMoves calls a method for a job at a shard and then at the shards to which the
// job was moved.
func (n *Node) followMoves(ctx context.Context, shard, id, method string) JobReply {
	var reply JobReply
	for range maxHops {
		reply = n.callJobOwner(ctx, shard, id, method)
		switch reply.Code {
		case result.JobUnknown, result.NotOwner, result.PeerUnavailable:
			reply = n.replyFromStore(ctx, shard, id, method)
		}
		if reply.Moved == nil {
			return reply
		}
		shard = reply.Moved.Shard
	}
	return replyOf(result.Errorf(result.NotReady, "job %s was moved between too many shards", id))
}

func replyOf(err error) JobReply { return JobReply{Outcome: outcomeOf(err)} }

func (n *Node) callJobOwner(ctx context.Context, shard, id, method string) JobReply {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	req := JobRequest{Shard: shard, ID: id}
	if n.owners.localShard(shard) != nil {
		if method == methodCancel {
			return n.cancelLocal(ctx, &req)
		}
		return n.stateLocal(ctx, &req)
	}
	var out JobReply
	if err := n.callOwner(ctx, shard, method, req, &out); err != nil {
		return replyOf(err)
	}
	return out
}

// stateLocal returns the state of a job in a shard that this instance owns.
func (n *Node) stateLocal(ctx context.Context, r *JobRequest) JobReply {
	s := n.owners.localShard(r.Shard)
	if s == nil {
		return JobReply{Outcome: Outcome{Code: result.NotOwner, Detail: r.Shard}}
	}
	state, moved, err := s.State(ctx, r.ID)
	return JobReply{Outcome: outcomeOf(err), State: state, Moved: moved}
}

// cancelLocal cancels a job in a shard that this instance owns.
func (n *Node) cancelLocal(ctx context.Context, r *JobRequest) JobReply {
	s := n.owners.localShard(r.Shard)
	if s == nil {
		return JobReply{Outcome: Outcome{Code: result.NotOwner, Detail: r.Shard}}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	moved, err := s.Cancel(ctx, r.ID)
	return JobReply{Outcome: outcomeOf(err), Moved: moved}
}

// replyFromStore answers a job request from the shard's rows. Only they prove that a
// job does not exist: an owner may have been replaced without knowing it yet. The
// inbox is read before the accepted jobs because jobs move in that direction; in the
// other order, a job that moves between the two reads would be missed.
func (n *Node) replyFromStore(ctx context.Context, shard, id, method string) JobReply {
	inbox, err := n.owners.readRow(ctx, dispatch.TableInbox, shard, dispatch.InboxSubmit+id)
	if err != nil {
		return replyOf(result.Wrap(result.NotReady, err, "read from the store"))
	}
	accepted, err := n.owners.readRow(ctx, dispatch.TableAccepted, shard, id)
	if err != nil {
		return replyOf(result.Wrap(result.NotReady, err, "read from the store"))
	}
	unknown := replyOf(result.Errorf(result.JobUnknown, "no job %s", id))
	if inbox.Version == 0 && accepted.Version == 0 {
		if method != methodCancel {
			return unknown
		}
		if !n.owners.inboxHasRoom(shard, dispatch.WithdrawnBytes) {
			return replyOf(result.Errorf(result.NotReady, "the owner's memory is full"))
		}
		// A submission without a response may still be carried out.
		if err := n.cancelInInbox(ctx, shard, id); err != nil {
			return replyOf(err)
		}
		return unknown
	}
	rec := workload.Record{State: workload.Queued}
	if accepted.Version > 0 {
		if rec, err = n.readProgress(ctx, shard, id); err != nil {
			return replyOf(result.Wrap(result.NotReady, err, "read from the store"))
		}
	}
	reply := replyOf(nil)
	switch {
	case rec.Moved != nil && rec.Moved.Confirmed:
		reply.Moved = rec.Moved
	case rec.State == workload.Withdrawn:
		return unknown
	case method == methodCancel:
		// The owner forwards it if the job has moved to another shard.
		reply = replyOf(n.cancelInInbox(ctx, shard, id))
	default:
		reply.State = rec.State
	}
	return reply
}

func (n *Node) readProgress(ctx context.Context, shard, id string) (workload.Record, error) {
	row, err := n.owners.readRow(ctx, dispatch.TableProgress, shard, id)
	if err != nil {
		return workload.Record{}, err
	}
	return workload.DecodeRecord(row.Value)
}

// pendingCounts caches, per shard, the counts of pending jobs that owners reported.
type pendingCounts struct {
	mu      sync.Mutex
	byShard map[string]pendingCount
}

type pendingCount struct {
	at     time.Time
	queues map[string]int
}

// update stores the counts of the shards that an owner has loaded.
func (p *pendingCounts) update(shards map[string]map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, queues := range shards {
		p.byShard[name] = pendingCount{at: time.Now(), queues: queues}
	}
}

// of returns a shard's count and whether it is at most age old.
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
	n.pendingCache.update(n.owners.pending())
	n.refreshPending(ctx, l.Shards(), queue)
	sum := 0
	for _, shard := range l.Shards() {
		c, ok := n.pendingCache.of(shard, queue, pendingMaxAge)
		if !ok {
			return 0, result.Errorf(result.NotReady, "no recent count of pending jobs in shard %s", shard)
		}
		sum += c
	}
	return sum, nil
}

// refreshPending asks the owners of the shards whose cached count has expired.
func (n *Node) refreshPending(ctx context.Context, shards []string, queue string) {
	var wg sync.WaitGroup
	asked := map[string]bool{n.self.Control: true}
	for _, shard := range shards {
		own, ok := n.owners.lastKnownOwner(shard)
		if _, fresh := n.pendingCache.of(shard, queue, pendingTTL); fresh || !ok || asked[own.Control] {
			continue
		}
		asked[own.Control] = true
		wg.Go(func() { n.fetchPending(ctx, own.Control) })
	}
	wg.Wait()
}

func (n *Node) fetchPending(ctx context.Context, control string) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var r PendingReply
	if err := n.peers.call(ctx, control, methodPending, struct{}{}, &r); err != nil {
		logger.WithField("peer", control).WithError(err).Info("counting pending jobs at a peer failed")
		return
	}
	n.pendingCache.update(r.Shards)
}
