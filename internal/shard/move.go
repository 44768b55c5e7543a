package shard

import (
	"fmt"

	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/placement"
)

// maxMoves is how often a task may move from shard to shard.
const maxMoves = 3

// moveOut hands a waiting task that no worker here could ever hold to a shard
// that has one, in the commit that releases it. It reports whether it did.
func (o *Owner) moveOut(d *placement.Decision) bool {
	t := o.st.Task(d.Task)
	if d.Reason.Stage != placement.StageNeverRuns || o.ext.Elsewhere == nil || t.Moves >= maxMoves {
		return false
	}
	to, ok := o.ext.Elsewhere(t.job.Spec)
	if !ok {
		return false
	}
	m := Message{Admit: &AdmitRecord{
		Spec: t.job.Spec, Submitted: t.job.Submitted, From: d.Task.Index, To: d.Task.Index + 1,
		Carry: &CarriedState{Attempt: t.Attempt, Resume: t.Resume, Evictions: t.Evictions, Failures: t.Failures, Moves: t.Moves + 1},
	}}
	delete(o.tasks, d.Task)
	o.note(Event{Task: d.Task, Step: "move", Stage: "Shard", Detail: "no worker here is large enough; moved to " + to})
	o.propose([]*Record{{Moved: &MovedRecord{Task: d.Task, To: to}}}, []contract.Write{put(to, t.job.Submitted, &m)}, nil)
	return true
}

// put returns the write of a message to another shard's inbox.
func put(shard string, ms int64, m *Message) contract.Write {
	key := InboxKey(shard, fmt.Sprintf("%015d-%s", ms, uuid.NewString()))
	return contract.Write{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: m.Encode()}
}

// forward returns the writes that tell the shards to which tasks of the job
// moved that it was cancelled.
func (o *Owner) forward(id string) []contract.Write {
	j := o.st.Jobs[id]
	if j == nil {
		return nil
	}
	var out []contract.Write
	told := map[string]bool{}
	for _, t := range j.Tasks {
		if t.Phase == Moved && !told[t.MovedTo] {
			told[t.MovedTo] = true
			out = append(out, put(t.MovedTo, j.Submitted, &Message{Cancel: []string{id}}))
		}
	}
	return out
}
