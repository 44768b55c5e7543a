package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// InboxTable holds new work for the shards.
const InboxTable = "inbox"

// inboxInterval is the time between readings of an inbox that nobody kicked.
const inboxInterval = 2 * time.Second

// InboxKey returns the row of a message to the shard. Rows are read in the
// order of their order.
func InboxKey(shard, order string) contract.Key {
	return contract.Key{Table: InboxTable, Row: shard + "/" + order}
}

// Encode returns the message as a row's value.
func (m *Message) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

// DecodeMessage reads the value of an inbox row.
func DecodeMessage(value []byte) (Message, error) {
	var m Message
	err := json.Unmarshal(value, &m)
	return m, result.Wrap(result.Internal, err, "inbox message")
}

// inbox reads the shard's inbox every cycle and when kicked.
func (o *Owner) inbox(ctx context.Context) {
	t := time.NewTicker(inboxInterval)
	defer t.Stop()
	from := ""
	for {
		from = o.readInbox(ctx, from)
		if from != "" {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.kicked:
		}
	}
}

// readInbox takes one page in. It returns where the next page begins, or "".
func (o *Owner) readInbox(ctx context.Context, from string) string {
	prefix := o.cfg.Shard + "/"
	if from == "" {
		from = prefix
	}
	gone := o.consumed()
	rows, err := o.ext.Tables.Scan(ctx, InboxTable, from, o.cfg.Shard+"0", inboxPage)
	o.unread.note(err)
	if err != nil {
		return ""
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consume(rows)
	for _, row := range gone {
		delete(o.taken, row)
	}
	if len(rows) < inboxPage || o.err != nil {
		return ""
	}
	return rows[len(rows)-1].Key.Row + "\x00"
}

// consumed returns the rows whose deletion is durable. A scan that began before
// may still show them; one that begins now does not.
func (o *Owner) consumed() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for row, deleted := range o.taken {
		if deleted {
			out = append(out, row)
		}
	}
	return out
}

// consume proposes the messages of a page. Each row is deleted in the commit
// that records it. Submissions go before cancellations, whose order keys other
// instances may have minted by other clocks.
func (o *Owner) consume(rows []contract.Row) {
	var cancels []contract.Row
	for _, row := range rows {
		if _, ok := o.taken[row.Key.Row]; ok {
			continue
		}
		m, err := DecodeMessage(row.Value)
		if err != nil {
			o.logger.WithError(err).WithField("row", row.Key.Row).Error("unreadable message, dropped")
			o.take(row, nil)
			continue
		}
		if m.Cancel != nil {
			cancels = append(cancels, row)
			continue
		}
		o.take(row, o.admit(&m))
	}
	for _, row := range cancels {
		m, _ := DecodeMessage(row.Value) // was read above
		var records []*Record
		var forwarded []contract.Write
		for _, id := range m.Cancel {
			records = append(records, o.cancel(id)...)
			forwarded = append(forwarded, o.forward(id)...)
		}
		o.take(row, records, forwarded...)
	}
}

// take proposes records together with the deletion of the row they came from.
func (o *Owner) take(row contract.Row, records []*Record, extra ...contract.Write) {
	o.taken[row.Key.Row] = false
	drop := contract.Write{Key: row.Key, If: contract.IfVersion, Version: row.Version, Do: contract.Delete}
	if len(records) == 0 {
		records = []*Record{{Promise: &PromiseRecord{Length: o.st.Promise}}}
	}
	o.propose(records, append(extra, drop), func() { o.taken[row.Key.Row] = true })
}

// admit returns the records of new tasks.
func (o *Owner) admit(m *Message) []*Record {
	if m.Admit == nil || m.Admit.Spec == nil {
		return nil
	}
	return o.admitTasks(m.Admit)
}

// admitTasks drops an admission whose tasks are here already.
func (o *Owner) admitTasks(a *AdmitRecord) []*Record {
	if j := o.st.Jobs[a.Spec.ID]; j != nil {
		for i := a.From; i < a.To; i++ {
			if t := j.Tasks[i]; t != nil && t.Phase != Moved {
				return nil
			}
		}
	}
	if a.From < 0 || a.From >= a.To {
		return nil
	}
	o.note(Event{Task: taskOf(a), Step: "admit", Stage: "Inbox", Detail: fmt.Sprintf("tasks %d to %d", a.From, a.To-1)})
	return []*Record{{Admit: a}}
}

// cancel returns the records of a cancellation: it and the stop of every run.
func (o *Owner) cancel(id string) []*Record {
	records := []*Record{{Cancel: &CancelRecord{Job: id}}}
	j := o.st.Jobs[id]
	if j == nil || j.Cancelled {
		return records
	}
	for _, t := range j.Tasks {
		if t.Run != nil && t.Run.Stop == "" {
			records = append(records, o.stopping(t.Run, StopCancelled, false, "the job was cancelled"))
		}
		delete(o.tasks, t.ID)
	}
	return records
}
