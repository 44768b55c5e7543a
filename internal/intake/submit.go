package intake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/shard"
)

const (
	retryPause  = 100 * time.Millisecond
	cancelChunk = 50 // jobs in one commit
)

// Intake stores jobs and cancellations.
type Intake struct {
	tables contract.Tables
	zones  []string
	shards int // per zone
	fleet  *shard.Fleet
	// wake makes the owners of the shards read their inboxes.
	wake func(shards []string)
}

// New returns an intake for the zones, each with the given number of shards.
func New(tables contract.Tables, zones []string, shards int, fleet *shard.Fleet, wake func(shards []string)) *Intake {
	return &Intake{tables: tables, zones: zones, shards: shards, fleet: fleet, wake: wake}
}

// Submit stores the job and writes its tasks to the inboxes of the shards, in one
// commit. It reports false if the same job is stored already. Its errors:
//   - result.JobBad: the description is not valid;
//   - result.JobExists: a different job has the id;
//   - result.JournalUnavailable: nothing was stored;
//   - result.JobNotStored: it is not known whether the job was stored.
func (in *Intake) Submit(ctx context.Context, spec job.Spec) (bool, error) {
	spec = normalize(spec)
	if err := in.checkSpec(&spec); err != nil {
		return false, err
	}
	row := Row{Spec: spec, Submitted: time.Now().UnixMilli(), Nonce: uuid.NewString()}
	row.Parts = Divide(&spec, Targets(&spec, in.zones, in.shards, in.fleet))
	created, err := in.storeJob(ctx, &row)
	if err == nil && created {
		in.wake(shardsOf(row.Parts))
	}
	return created, err
}

func (in *Intake) checkSpec(spec *job.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	for _, z := range spec.Zones {
		if !slices.Contains(in.zones, z) {
			return result.Errorf(result.JobBad, "zones: %q is not a zone of the deployment", z)
		}
	}
	return nil
}

// storeJob commits the row and the inbox rows and repeats that until the outcome is known.
// After an unknown outcome or a conflict it reads the row, and sends the same commit
// again if the row does not exist.
func (in *Intake) storeJob(ctx context.Context, row *Row) (bool, error) {
	writes := submissionWrites(row)
	unknown := false
	for {
		_, err := in.tables.Commit(ctx, writes)
		if err == nil {
			return true, nil
		}
		refused := contract.OutcomeOf(err) == contract.Refused && !contract.IsConflict(err)
		unknown = unknown || contract.OutcomeOf(err) == contract.Unknown
		if refused && !unknown {
			return false, result.Wrap(result.JournalUnavailable, err, "store job "+row.Spec.ID)
		}
		if !refused {
			stored, _, rerr := in.readRow(ctx, row.Spec.ID)
			if rerr == nil {
				return resultOfStored(row, stored)
			}
		}
		if !pause.For(ctx, retryPause) {
			return false, result.Wrap(result.JobNotStored, err, "job "+row.Spec.ID)
		}
	}
}

// resultOfStored decides the result of a submission whose id is stored already. It returns
// true if this call stored it, false if an earlier submission of an equal job did, and
// result.JobExists if the stored job is a different one.
func resultOfStored(row, stored *Row) (bool, error) {
	if stored.Nonce == row.Nonce {
		return true, nil
	}
	if !equalSpecs(row.Spec, stored.Spec) {
		return false, result.Errorf(result.JobExists, "%s", row.Spec.ID)
	}
	return false, nil
}

// submissionWrites returns the writes of a submission. The job's row comes first, because the
// tables report the first condition that fails.
func submissionWrites(row *Row) []contract.Write {
	writes := []contract.Write{{Key: jobKey(row.Spec.ID), If: contract.IfAbsent, Do: contract.Put, Value: encode(row)}}
	for _, p := range row.Parts {
		m := shard.Message{Admit: &shard.AdmitRecord{Spec: &row.Spec, Submitted: row.Submitted, From: p.From, To: p.To}}
		writes = append(writes, contract.Write{
			Key: shard.InboxKey(p.Shard, inboxOrder(row.Submitted, row.Nonce)),
			If:  contract.IfAbsent, Do: contract.Put, Value: m.Encode(),
		})
	}
	return writes
}

// inboxOrder returns the part of an inbox row's key that sorts messages roughly by time
// and makes them unique by the nonce.
func inboxOrder(ms int64, nonce string) string { return fmt.Sprintf("%015d-%s", ms, nonce) }

// readRow returns a job's row and its version, or result.JobUnknown.
func (in *Intake) readRow(ctx context.Context, id string) (*Row, uint64, error) {
	r, err := in.tables.Read(ctx, jobKey(id))
	if contract.IsNotFound(err) {
		return nil, 0, result.Errorf(result.JobUnknown, "%s", id)
	}
	if err != nil {
		return nil, 0, err
	}
	row, err := decodeRow(r)
	return &row, r.Version, err
}

func shardsOf(parts []TaskRange) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = p.Shard
	}
	return out
}
