package intake

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
	"skylarkport/internal/shard"
)

const maxCancelAttempts = 5

// Cancel marks the jobs as cancelled and writes the cancellations to the inboxes of
// their shards, up to cancelChunk jobs per commit. It returns one result per id, in
// the order of ids; result.OK also for a job that was cancelled before.
func (in *Intake) Cancel(ctx context.Context, ids []string) []api.CancelResult {
	out := make([]api.CancelResult, 0, len(ids))
	for chunk := range slices.Chunk(ids, cancelChunk) {
		out = append(out, in.cancelChunk(ctx, chunk)...)
	}
	return out
}

func (in *Intake) cancelChunk(ctx context.Context, ids []string) []api.CancelResult {
	errs := make(map[string]error, len(ids))
	for range maxCancelAttempts {
		writes, shards := in.cancellationWrites(ctx, ids, errs)
		if len(writes) == 0 {
			break
		}
		_, err := in.tables.Commit(ctx, writes)
		if err == nil {
			in.wake(shards)
			break
		}
		if contract.OutcomeOf(err) == contract.Refused && !contract.IsConflict(err) {
			failRemaining(errs, ids, result.Wrap(result.JournalUnavailable, err, "cancel"))
			break
		}
		// After a conflict or an unknown outcome, read the jobs again. Repeating is
		// safe: a job that is marked already is skipped.
		failRemaining(errs, ids, result.Wrap(result.JobNotStored, err, "cancel"))
		if !pause.For(ctx, retryPause) {
			break
		}
	}
	return cancelResults(ids, errs)
}

// cancellationWrites reads the jobs and returns the writes that cancel those that are not
// cancelled yet, and the shards that get a message. It sets errs for each id.
func (in *Intake) cancellationWrites(ctx context.Context, ids []string, errs map[string]error) ([]contract.Write, []string) {
	var writes []contract.Write
	byShard := map[string][]string{}
	seen := map[string]bool{}
	for _, id := range ids {
		if seen[id] {
			continue
		}
		seen[id] = true
		row, version, err := in.readRow(ctx, id)
		errs[id] = err
		if err != nil || row.Cancelled {
			continue
		}
		row.Cancelled = true
		writes = append(writes, contract.Write{Key: jobKey(id), If: contract.IfVersion, Version: version, Do: contract.Put, Value: encode(row)})
		for _, s := range shardsOf(row.Parts) {
			byShard[s] = append(byShard[s], id)
		}
	}
	at, nonce := time.Now().UnixMilli(), uuid.NewString()
	var shards []string
	for s, jobs := range byShard {
		shards = append(shards, s)
		m := shard.Message{Cancel: slices.Compact(jobs)}
		writes = append(writes, contract.Write{Key: shard.InboxKey(s, inboxOrder(at, nonce)), If: contract.IfAbsent, Do: contract.Put, Value: m.Encode()})
	}
	return writes, shards
}

// failRemaining sets err for the ids that have no error of their own.
func failRemaining(errs map[string]error, ids []string, err error) {
	for _, id := range ids {
		if errs[id] == nil {
			errs[id] = err
		}
	}
}

func cancelResults(ids []string, errs map[string]error) []api.CancelResult {
	out := make([]api.CancelResult, len(ids))
	for i, id := range ids {
		out[i] = api.CancelResult{ID: id, Code: int(result.Of(errs[id]))}
		if err := errs[id]; err != nil {
			out[i].Detail = err.Error()
		}
	}
	return out
}
