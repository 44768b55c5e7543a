package dispatch

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"maps"
	"time"

	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// deletionsKept is how long the deletions of rows are remembered, which is longer than a prefetch is
// kept.
const deletionsKept = time.Minute

// deletion is the commit that deleted the rows of a job.
type deletion struct {
	version int64
	at      time.Duration
}

// Handoff is what an owner has stored since its successor prefetched the rows of the shard, as of the
// owner's last commit. The successor uses it only if that commit is still the last one of the shard
// after the claim.
type Handoff struct {
	Epoch   int64       `json:"e"`
	Seq     int64       `json:"n"`     // of the last commit
	Since   int64       `json:"since"` // changes after this version of the store are listed
	Jobs    []HandedJob `json:"jobs,omitempty"`
	Dropped []string    `json:"dropped,omitempty"` // ids of the jobs whose rows were deleted
}

// HandedJob holds the values of a job's rows. Accepted is empty if it was stored before.
type HandedJob struct {
	ID       string          `json:"id"`
	Progress json.RawMessage `json:"p"`
	Accepted json.RawMessage `json:"a,omitempty"`
}

// Encode returns the handoff in compressed form.
func (h *Handoff) Encode() []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(workload.Encode(h)) // a bytes.Buffer does not fail
	_ = w.Close()
	return b.Bytes()
}

// DecodeHandoff decodes a handoff of at most limit bytes in uncompressed form.
func DecodeHandoff(b []byte, limit int64) (*Handoff, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, result.Wrap(result.JournalCorrupt, err, "decompress a handoff")
	}
	raw, err := io.ReadAll(io.LimitReader(r, limit))
	if err != nil {
		return nil, result.Wrap(result.JournalCorrupt, err, "decompress a handoff")
	}
	h := new(Handoff)
	if err := workload.Decode(raw, h); err != nil {
		return nil, err
	}
	return h, nil
}

// HandOff suspends commits until Resume and returns what was stored after a version of the store. It
// returns nil, and commits go on, if a change is not stored by the end of ctx. The shard has to be
// drained.
func (s *Shard) HandOff(ctx context.Context, since int64) *Handoff {
	for ctx.Err() == nil {
		s.mu.Lock()
		if !s.committing && !s.hasUncommitted() {
			s.suspended = true
			h := s.handoff(since)
			s.mu.Unlock()
			return h
		}
		cycleDone := s.cycleDone
		s.mu.Unlock()
		s.wakeCommitLoop()
		select {
		case <-cycleDone:
		case <-ctx.Done():
		}
	}
	return nil
}

// handoff lists the changes after a version of the store. The caller holds the lock.
func (s *Shard) handoff(since int64) *Handoff {
	h := &Handoff{Epoch: s.heartbeat.Epoch, Seq: s.heartbeat.Seq, Since: since}
	for id, j := range s.jobs {
		if j.storedVersion <= since {
			continue
		}
		record := j.storedRecord()
		handed := HandedJob{ID: id, Progress: workload.EncodeRecord(&record)}
		if j.acceptedVersion > since && needsSpec(&j.record) {
			handed.Accepted = workload.Encode(j.accepted())
		}
		h.Jobs = append(h.Jobs, handed)
	}
	for id, d := range s.deletedJobs {
		if d.version > since && s.jobs[id] == nil {
			h.Dropped = append(h.Dropped, id)
		}
	}
	return h
}

// accepted returns the accepted row of j.
func (j *job) accepted() workload.Accepted {
	return workload.Accepted{Spec: j.spec, AtMillis: int64(j.acceptedAt), Moved: j.movedHere, Loan: j.loan}
}

// recordStored records the version of the rows of a durable batch, for a handoff. The caller holds the
// lock.
func (s *Shard) recordStored(b *batch, version int64) {
	for _, j := range b.jobs {
		j.storedVersion = version
	}
	for _, j := range b.accepted {
		j.acceptedVersion = version
	}
	for _, id := range b.droppedJobs {
		s.deletedJobs[id] = deletion{version, s.now()}
	}
	maps.DeleteFunc(s.deletedJobs, func(_ string, d deletion) bool { return s.now()-d.at > deletionsKept })
}
