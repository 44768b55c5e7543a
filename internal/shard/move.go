package shard

import (
	"fmt"

	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/placement"
)

// maxMoves is how often a task may move between shards.
const maxMoves = 3

// moveToOtherShard moves a waiting task that no worker of this shard could ever
// hold to a shard with a large enough worker. One commit releases the task and
// writes it to the other shard's inbox. It reports whether the task moved.
func (o *Owner) moveToOtherShard(d *placement.Decision) bool {
	t := o.decidedState.Task(d.Task)
	if d.Reason.Stage != placement.StageNeverRuns || o.platform.OtherShardFor == nil || t.Moves >= maxMoves {
		return false
	}
	to, ok := o.platform.OtherShardFor(t.job.Spec)
	if !ok {
		return false
	}
	m := Message{Admit: &AdmitRecord{
		Spec: t.job.Spec, Submitted: t.job.Submitted, From: d.Task.Index, To: d.Task.Index + 1,
		Carried: &CarriedState{Attempt: t.Attempt, Resume: t.Resume, Evictions: t.Evictions, Failures: t.Failures, Moves: t.Moves + 1},
	}}
	delete(o.waits, d.Task)
	o.addEvent(Event{Task: d.Task, Step: "move", Stage: "Shard", Detail: "no worker in the shard is large enough; moved to " + to})
	o.propose([]*Record{{Moved: &MovedRecord{Task: d.Task, To: to}}}, []contract.Write{inboxWrite(to, t.job.Submitted, &m)}, nil)
	return true
}

// inboxWrite returns the write of m to another shard's inbox, which is sorted by ms, a
// Unix time in milliseconds.
func inboxWrite(shard string, ms int64, m *Message) contract.Write {
	key := InboxKey(shard, fmt.Sprintf("%015d-%s", ms, uuid.NewString()))
	return contract.Write{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: m.Encode()}
}

// forwardCancellation returns the writes that cancel the job in the shards to which
// its tasks moved.
func (o *Owner) forwardCancellation(id string) []contract.Write {
	j := o.decidedState.Jobs[id]
	if j == nil {
		return nil
	}
	var out []contract.Write
	notified := map[string]bool{}
	for _, t := range j.Tasks {
		if t.Phase == Moved && !notified[t.MovedTo] {
			notified[t.MovedTo] = true
			out = append(out, inboxWrite(t.MovedTo, j.Submitted, &Message{Cancel: []string{id}}))
		}
	}
	return out
}
