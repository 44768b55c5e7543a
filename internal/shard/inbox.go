package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// InboxTable holds the messages to the shards: new tasks and cancellations.
const InboxTable = "inbox"

// inboxInterval is the polling interval of an inbox that nothing wakes.
const inboxInterval = 2 * time.Second

// InboxKey returns the row key of a message to the shard. The shard reads its rows
// in ascending order of position.
func InboxKey(shard, position string) contract.Key {
	return contract.Key{Table: InboxTable, Row: shard + "/" + position}
}

// Encode returns the message as a row's value.
func (m *Message) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // unreachable: only plain structs are encoded
	}
	return b
}

// DecodeMessage reads the value of an inbox row.
func DecodeMessage(value []byte) (Message, error) {
	var m Message
	err := json.Unmarshal(value, &m)
	return m, result.Wrap(result.Internal, err, "decode inbox message")
}

// runInbox reads the shard's inbox every inboxInterval and when it is woken.
func (o *Owner) runInbox(ctx context.Context) {
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
		case <-o.wakeInbox:
		}
	}
}

// readInbox reads and processes one page of the inbox. It returns the start of the
// next page, or "" after the last.
func (o *Owner) readInbox(ctx context.Context, from string) string {
	prefix := o.cfg.Shard + "/"
	if from == "" {
		from = prefix
	}
	deleted := o.deletedRows()
	rows, err := o.platform.Tables.Scan(ctx, InboxTable, from, o.cfg.Shard+"0", inboxPageSize)
	o.inboxOutage.record(err)
	if err != nil {
		return ""
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.consumeRows(rows)
	for _, row := range deleted {
		delete(o.consumedRows, row)
	}
	if len(rows) < inboxPageSize || o.err != nil {
		return ""
	}
	return rows[len(rows)-1].Key.Row + "\x00"
}

// deletedRows returns the consumed rows whose deletion is durable. They were kept in
// o.consumedRows because a scan that began before the deletion could return them again.
// A scan that begins now cannot, so the caller forgets them once its scan has succeeded.
func (o *Owner) deletedRows() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for row, deleted := range o.consumedRows {
		if deleted {
			out = append(out, row)
		}
	}
	return out
}

// consumeRows proposes the records of the messages on a page. Each row is deleted in
// the commit that records its message. Submissions go before cancellations: their
// positions may come from other instances with other clocks, so a cancellation may
// be sorted before the submission that it refers to.
func (o *Owner) consumeRows(rows []contract.Row) {
	var cancels []contract.Row
	for _, row := range rows {
		if _, ok := o.consumedRows[row.Key.Row]; ok {
			continue
		}
		m, err := DecodeMessage(row.Value)
		if err != nil {
			o.logger.WithError(err).WithField("row", row.Key.Row).Error("cannot decode an inbox message; it is dropped")
			o.consumeRow(row, nil)
			continue
		}
		if m.Cancel != nil {
			cancels = append(cancels, row)
			continue
		}
		o.consumeRow(row, o.admit(&m))
	}
	for _, row := range cancels {
		m, _ := DecodeMessage(row.Value) // decoded without error above
		var records []*Record
		var forwarded []contract.Write
		for _, id := range m.Cancel {
			records = append(records, o.cancel(id)...)
			forwarded = append(forwarded, o.forwardCancellation(id)...)
		}
		o.consumeRow(row, records, forwarded...)
	}
}

// consumeRow proposes records together with the deletion of their row. A row
// without records is deleted with a record that changes nothing.
func (o *Owner) consumeRow(row contract.Row, records []*Record, extra ...contract.Write) {
	o.consumedRows[row.Key.Row] = false
	drop := contract.Write{Key: row.Key, If: contract.IfVersion, Version: row.Version, Do: contract.Delete}
	if len(records) == 0 {
		records = []*Record{{LeaseBound: &LeaseBoundRecord{Length: o.decidedState.LeaseBound}}}
	}
	o.propose(records, append(extra, drop), func() { o.consumedRows[row.Key.Row] = true })
}

// admit returns the records that a message admits tasks with.
func (o *Owner) admit(m *Message) []*Record {
	if m.Admit == nil || m.Admit.Spec == nil {
		return nil
	}
	return o.admitTasks(m.Admit)
}

// admitTasks returns the record of an admission, or nothing if its range is empty or
// the shard has one of its tasks already.
func (o *Owner) admitTasks(a *AdmitRecord) []*Record {
	if j := o.decidedState.Jobs[a.Spec.ID]; j != nil {
		for i := a.From; i < a.To; i++ {
			if t := j.Tasks[i]; t != nil && t.Phase != Moved {
				return nil
			}
		}
	}
	if a.From < 0 || a.From >= a.To {
		return nil
	}
	o.addEvent(Event{Task: firstTask(a), Step: "admit", Stage: "Inbox", Detail: fmt.Sprintf("tasks %d to %d", a.From, a.To-1)})
	return []*Record{{Admit: a}}
}

// cancel returns the records of a cancellation: the cancellation and a stop for each
// run of the job.
func (o *Owner) cancel(id string) []*Record {
	records := []*Record{{Cancel: &CancelRecord{Job: id}}}
	j := o.decidedState.Jobs[id]
	if j == nil || j.Cancelled {
		return records
	}
	for _, t := range j.Tasks {
		if t.Run != nil && t.Run.Stop == "" {
			records = append(records, o.newStopRecord(t.Run, StopCancelled, false, "the job was cancelled"))
		}
		delete(o.waits, t.ID)
	}
	return records
}
