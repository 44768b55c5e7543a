package node

import (
	"context"
	"slices"
	"time"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// loadFor is how old another shard's load may be.
const loadFor = 2 * time.Second

// others are the other shards as the owner of one sees them. It implements
// dispatch.Others.
type others struct {
	node  *Node
	own   string
	asked int // shards asked for their lessons; only Lessons uses it
}

// othersOf returns the other shards of one, or nil where there is none.
func (o *owners) othersOf(shard string, l *Layout) dispatch.Others {
	if len(l.Shards()) < 2 {
		return nil
	}
	return &others{node: o.node, own: shard}
}

// Better implements dispatch.Others.
func (t *others) Better(j *workload.Spec, isNew bool) (string, bool) {
	cfg := t.node.Config()
	if cfg == nil {
		return "", false
	}
	q := cfg.ByName(j.Queue)
	if q == nil {
		return "", false
	}
	c := choice{own: t.own, service: q.Service, loads: t.node.owners.loads()}
	choose := c.forWaiting
	if isNew {
		choose = c.forNew
	}
	shard := choose(j)
	if shard == "" || shard == t.own {
		return "", false
	}
	t.node.owners.addLoad(shard, j)
	return shard, true
}

// Deliver implements dispatch.Others.
func (t *others) Deliver(ctx context.Context, shard string, a workload.Accepted) error {
	return t.node.submitOnce(ctx, shard, a)
}

// Cancel implements dispatch.Others.
func (t *others) Cancel(ctx context.Context, shard, id string) error {
	err := t.node.follow(ctx, shard, id, methodCancel).err()
	if result.Of(err) == result.JobUnknown {
		return nil // it has ended and is forgotten
	}
	return err
}

// Lessons implements dispatch.Others.
func (t *others) Lessons(ctx context.Context) (dispatch.Lessons, error) {
	shards := t.node.layout.Load().Shards()
	t.asked++
	shard := shards[t.asked%len(shards)]
	if shard == t.own {
		t.asked++
		shard = shards[t.asked%len(shards)]
	}
	if t.node.owners.here(shard) != nil {
		reply := t.node.owners.lessons(shard)
		return reply.Lessons, reply.err()
	}
	var reply LessonsReply
	if err := t.node.callOwner(ctx, shard, methodLessons, LessonsRequest{Shard: shard}, &reply); err != nil {
		return dispatch.Lessons{}, err
	}
	return reply.Lessons, reply.err()
}

// lessons answers for a shard of this instance.
func (o *owners) lessons(shard string) LessonsReply {
	s := o.here(shard)
	if s == nil {
		return LessonsReply{Outcome: outcomeOf(result.Errorf(result.NotOwner, "shard %s", shard))}
	}
	return LessonsReply{Outcome: outcomeOf(nil), Lessons: s.Lessons()}
}

// Knows implements dispatch.Others.
func (t *others) Knows(ctx context.Context, shard, id string) (bool, error) {
	err := t.node.follow(ctx, shard, id, methodState).err()
	if result.Of(err) == result.JobUnknown {
		return false, nil
	}
	return err == nil, err
}

// sentFor is how long a job that was sent to a shard is counted besides what the shard
// tells: a ping interval, and the way of the job and of the ping.
const sentFor = 600 * time.Millisecond

// sentJob is a job that was sent to a shard.
type sentJob struct {
	job *workload.Spec
	at  time.Time
}

// addLoad counts a moving job to its new shard until that tells of it.
func (o *owners) addLoad(shard string, j *workload.Spec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.shards[shard]
	own.sent = append(own.sent, sentJob{j, time.Now()})
}

// load is the newest known load of the shard with the jobs that were sent there. Jobs
// come to all homes alike, so that each of the homes sends about as much.
func (own *ownership) load(homes int) dispatch.Load {
	own.sent = slices.DeleteFunc(own.sent, func(s sentJob) bool { return time.Since(s.at) > sentFor })
	l := own.known.Load
	for _, s := range own.sent {
		for range homes {
			l.Add(s.job)
		}
	}
	return l
}

// loads returns the newest known load of every shard whose owner is heard.
func (o *owners) loads() map[string]dispatch.Load {
	out := map[string]dispatch.Load{}
	for _, own := range o.owned() {
		out[own.Shard] = own.Load
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, own := range o.shards {
		if own.shard == nil && own.known.Epoch > 0 && time.Since(own.heard) < loadFor {
			out[name] = own.load(len(o.shards))
		}
	}
	return out
}
