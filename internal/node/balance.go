package node

import (
	"context"
	"slices"
	"time"

	"skylarkport/internal/colocation"
	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// maxLoadAge is the age up to which another shard's reported load is used.
const maxLoadAge = 2 * time.Second

// otherShards implements dispatch.OtherShards: it gives the owner of one shard access to
// the other shards.
type otherShards struct {
	node      *Node
	own       string
	nextShard int // round-robin position among the shards; only InterferenceEstimates uses it
}

// otherShardsOf returns access to the shards other than shard, or nil if there is none.
func (o *owners) otherShardsOf(shard string, l *Layout) dispatch.OtherShards {
	if len(l.Shards()) < 2 {
		return nil
	}
	return &otherShards{node: o.node, own: shard}
}

// FasterShard implements dispatch.OtherShards.
func (o *otherShards) FasterShard(j *workload.Spec, isNew bool) (string, bool) {
	c := o.selector(j)
	if c == nil {
		return "", false
	}
	choose := c.ForWaitingJob
	if isNew {
		choose = c.ForNewJob
	}
	shard := choose(j)
	if shard == "" || shard == o.own {
		return "", false
	}
	o.node.owners.addLoad(shard, j, c.Service, false)
	return shard, true
}

// InUse implements dispatch.OtherShards. A shard whose load is not known may be in use.
func (o *otherShards) InUse() bool {
	loads := o.node.owners.loads()
	return slices.ContainsFunc(o.node.layout.Load().Shards(), func(name string) bool {
		l, known := loads[name]
		return name != o.own && !(known && l.Closed)
	})
}

// ShardWithRoom implements dispatch.OtherShards.
func (o *otherShards) ShardWithRoom(j *workload.Spec, accepted func(wait time.Duration) bool) (string, bool) {
	c := o.selector(j)
	if c == nil {
		return "", false
	}
	shard := c.WithRoom(j, accepted)
	if shard == "" {
		return "", false
	}
	o.node.owners.addLoad(shard, j, c.Service, false)
	return shard, true
}

// selector returns a selector with the present loads, or nil if the job's queue is not known.
func (o *otherShards) selector(j *workload.Spec) *dispatch.ShardSelector {
	q := dispatch.QueueOf(o.node.Config(), j)
	if q == nil {
		return nil
	}
	return &dispatch.ShardSelector{
		Own: o.own, Service: q.Service, Priority: q.Priority, Loads: o.node.owners.loads(), ByGap: o.node.features().Reservations,
	}
}

// Borrower implements dispatch.OtherShards.
func (o *otherShards) Borrower(r *dispatch.LoanRequest) (shard, why string) {
	c := o.selector(&r.Spec)
	if c == nil {
		return "", "queue not known"
	}
	if name := o.node.peers.withoutLoans(&r.Spec.Steps[0]); name != "" {
		return "", "instance " + name + " knows no loans"
	}
	if shard = c.Borrower(r); shard == "" {
		return "", c.DescribeLoads(r)
	}
	o.node.owners.addLoad(shard, &r.Spec, c.Service, true)
	return shard, ""
}

// Lend implements dispatch.OtherShards. A loan is stored only by the borrower's owner and
// not in the inbox: the owner serialises it with the loan's return.
func (o *otherShards) Lend(ctx context.Context, shard string, a workload.Accepted) error {
	return o.node.submitToOwner(ctx, shard, SubmitRequest{Shard: shard, Job: a})
}

// Return implements dispatch.OtherShards.
func (o *otherShards) Return(ctx context.Context, r workload.ReturnedLoan) error {
	shard := r.Loan.Lender
	err := o.node.returnToOwner(ctx, ReturnRequest{Shard: shard, Returned: r})
	if result.Of(err) != result.JobUnknown {
		return err
	}
	// Only the store proves that the job has been deleted: the instance that replied may
	// have been replaced as the owner.
	id, err := workload.ParseTaskID(r.Loan.Task)
	if err != nil {
		return result.Wrap(result.LoanBad, err, "return")
	}
	if reply := o.node.replyFromStore(ctx, shard, id.Job, methodState); reply.Code != result.JobUnknown {
		return result.Errorf(result.NotOwner, "the owner of %s does not know job %s", shard, id.Job)
	}
	return nil
}

// returnToOwner gives a loan back to the owner of the lender.
func (n *Node) returnToOwner(ctx context.Context, req ReturnRequest) error {
	if n.owners.localShard(req.Shard) != nil {
		return n.returnLocal(ctx, &req)
	}
	var out Outcome
	if err := n.callOwner(ctx, req.Shard, methodReturn, req, &out); err != nil {
		return err
	}
	return out.err()
}

// returnLocal takes a loan back into a shard that this instance owns.
func (n *Node) returnLocal(ctx context.Context, r *ReturnRequest) error {
	s := n.owners.localShard(r.Shard)
	if s == nil {
		return result.Errorf(result.NotOwner, "shard %s", r.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return s.TakeBack(ctx, r.Returned)
}

// Deliver implements dispatch.OtherShards.
func (o *otherShards) Deliver(ctx context.Context, shard string, a workload.Accepted) error {
	return o.node.submitOnce(ctx, shard, a)
}

// Cancel implements dispatch.OtherShards.
func (o *otherShards) Cancel(ctx context.Context, shard, id string) error {
	err := o.node.followMoves(ctx, shard, id, methodCancel).err()
	if result.Of(err) == result.JobUnknown {
		return nil // the job has ended and its record was deleted
	}
	return err
}

// InterferenceEstimates implements dispatch.OtherShards.
func (o *otherShards) InterferenceEstimates(ctx context.Context) (colocation.Estimates, error) {
	shards := o.node.layout.Load().Shards()
	o.nextShard++
	shard := shards[o.nextShard%len(shards)]
	if shard == o.own {
		o.nextShard++
		shard = shards[o.nextShard%len(shards)]
	}
	if o.node.owners.localShard(shard) != nil {
		reply := o.node.owners.interferenceEstimates(shard)
		return reply.Estimates, reply.err()
	}
	var reply EstimatesReply
	if err := o.node.callOwner(ctx, shard, methodEstimates, EstimatesRequest{Shard: shard}, &reply); err != nil {
		return colocation.Estimates{}, err
	}
	return reply.Estimates, reply.err()
}

// interferenceEstimates returns the estimates of a shard that this instance owns.
func (o *owners) interferenceEstimates(shard string) EstimatesReply {
	s := o.localShard(shard)
	if s == nil {
		return EstimatesReply{Outcome: outcomeOf(result.Errorf(result.NotOwner, "shard %s", shard))}
	}
	return EstimatesReply{Outcome: outcomeOf(nil), Estimates: s.InterferenceEstimates()}
}

// HasJob implements dispatch.OtherShards.
func (o *otherShards) HasJob(ctx context.Context, shard, id string) (bool, error) {
	err := o.node.followMoves(ctx, shard, id, methodState).err()
	if result.Of(err) == result.JobUnknown {
		return false, nil
	}
	return err == nil, err
}

// sentJobTTL is how long a job that was sent to a shard is added to the load that the
// shard reports. It covers a ping interval and the transfers of the job and the ping.
const sentJobTTL = 600 * time.Millisecond

// sentJob is a job or a loan that was recently sent to another shard.
type sentJob struct {
	job     *workload.Spec
	service string // of the job's queue
	loan    bool
	at      time.Time
}

// addLoad adds a moving job or a loan to its new shard's load until the shard reports it.
func (o *owners) addLoad(shard string, j *workload.Spec, service string, loan bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.shards[shard]
	own.recentlySent = append(own.recentlySent, sentJob{j, service, loan, time.Now()})
}

// withSent returns the shard's load l plus the loans recently sent to the shard, and the jobs,
// each as often as jobCopies says.
func (own *ownership) withSent(l dispatch.Load, jobCopies int) dispatch.Load {
	own.recentlySent = slices.DeleteFunc(own.recentlySent, func(s sentJob) bool { return time.Since(s.at) > sentJobTTL })
	for _, s := range own.recentlySent {
		copies := jobCopies
		if s.loan {
			copies = 1
		}
		for range copies {
			l.Add(s.job, s.service)
		}
	}
	return l
}

// loads returns the loads of this instance's shards and the latest load of every other
// shard whose owner reported it within maxLoadAge.
func (o *owners) loads() map[string]dispatch.Load {
	out := map[string]dispatch.Load{}
	ownedHere := o.ownedShards(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, owned := range ownedHere {
		out[owned.Shard] = o.shards[owned.Shard].withSent(owned.Load, 0) // it knows its jobs already
	}
	for name, own := range o.shards {
		if own.shard == nil && own.known.Epoch > 0 && time.Since(own.lastReport) < maxLoadAge {
			// Jobs are hashed evenly over the home shards, so each of them is assumed to have
			// sent as many jobs as this instance did.
			out[name] = own.withSent(own.known.Load, len(o.shards))
		}
	}
	return out
}
