package intake

import (
	"context"
	"encoding/json"
	"time"

	"skylarkport/internal/member"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
	"skylarkport/internal/shard"
)

// Methods that schedulers call on each other.
const (
	methodTasks   = "shard.tasks"
	methodWorkers = "shard.workers"
	methodStatus  = "shard.status"
	methodExplain = "shard.explain"
)

// MethodWake is the method that takes a WakeRequest.
const MethodWake = "shard.kick"

const queryTimeout = 2 * time.Second

// TasksRequest asks for the tasks of jobs, or of all jobs if none is named.
type TasksRequest struct {
	Jobs []string `json:"jobs"`
}

// ShardTasks lists the tasks of the requested jobs in one shard.
type ShardTasks struct {
	Shard string     `json:"shard"`
	Tasks []api.Task `json:"tasks"`
}

// ExplainRequest asks for the events about a job, task or worker.
type ExplainRequest struct {
	Subject string `json:"subject"`
}

// ExplainReply holds the events and the state that one process knows of the subject.
type ExplainReply struct {
	Events []api.Event `json:"events"`
	State  string      `json:"state"`
}

// WakeRequest names shards whose inboxes have new messages.
type WakeRequest struct {
	Shards []string `json:"shards"`
}

// LocalShards serves requests about the shards that this process owns.
type LocalShards struct {
	zone *shard.Zone
}

// NewLocalShards returns a LocalShards for the LocalShards of zone and registers the methods above with
// group. It must be called before the group runs.
func NewLocalShards(zone *shard.Zone, group member.Group) *LocalShards {
	l := &LocalShards{zone: zone}
	handle(group, methodTasks, func(r TasksRequest) any { return l.Tasks(r.Jobs) })
	handle(group, methodWorkers, func(struct{}) any { return l.Workers() })
	handle(group, methodStatus, func(struct{}) any { return l.Status() })
	handle(group, methodExplain, func(r ExplainRequest) any { return l.Explain(r.Subject) })
	handle(group, MethodWake, func(r WakeRequest) any { l.WakeInbox(r.Shards); return struct{}{} })
	return l
}

func handle[T any](group member.Group, method string, f func(T) any) {
	group.Handle(method, func(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
		var v T
		if err := json.Unmarshal(params, &v); err != nil {
			return nil, result.Wrap(result.RequestBad, err, method)
		}
		return f(v), nil
	})
}

// Tasks returns the tasks of the jobs per owned shard.
func (l *LocalShards) Tasks(jobs []string) []ShardTasks {
	out := []ShardTasks{}
	for _, o := range l.zone.Owners() {
		st := ShardTasks{Shard: o.Name()}
		if len(jobs) == 0 {
			st.Tasks = o.AllTasks()
		}
		for _, id := range jobs {
			st.Tasks = append(st.Tasks, o.Tasks(id)...)
		}
		out = append(out, st)
	}
	return out
}

// Workers returns the workers of the owned shards.
func (l *LocalShards) Workers() []api.Worker {
	out := []api.Worker{}
	for _, o := range l.zone.Owners() {
		out = append(out, o.Workers()...)
	}
	return out
}

// Status returns the status of the owned shards.
func (l *LocalShards) Status() []api.Shard {
	out := []api.Shard{}
	for _, o := range l.zone.Owners() {
		out = append(out, o.Status())
	}
	return out
}

// Explain returns the events and the state that the owned shards know of the subject.
func (l *LocalShards) Explain(subject string) ExplainReply {
	var out ExplainReply
	for _, o := range l.zone.Owners() {
		events, state := o.Explain(subject)
		out.Events = append(out.Events, events...)
		if out.State == "" {
			out.State = state
		}
	}
	return out
}

// WakeInbox makes the owners of the named shards read their inboxes at once.
func (l *LocalShards) WakeInbox(shards []string) {
	for _, o := range l.zone.Owners() {
		for _, s := range shards {
			if s == o.Name() {
				o.WakeInbox()
			}
		}
	}
}
