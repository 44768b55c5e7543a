package bundle

import (
	"context"
	"encoding/json"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Accept puts a proposal in force by one commit on the condition that its base
// is still the current version. When several operators accept different
// proposals at once, one succeeds and the others get result.BundleConflict,
// which names the accepted bundle and its author. Accept is idempotent. When
// the response to the commit is lost, the outcome is determined by reading the
// table; if that does not succeed before ctx ends, the error is
// result.PlatformUnknown and the caller must call Accept again.
func (l *Lifecycle) Accept(ctx context.Context, hash string) (Head, error) {
	b, body, err := l.bundle(ctx, hash)
	if err != nil {
		return Head{}, err
	}
	next := Head{Version: b.Version, Hash: hash, Author: b.Author}
	head, rowVersion, err := l.current(ctx)
	if err != nil {
		return Head{}, err
	}
	if done, err := l.alreadyAccepted(ctx, head, next); done || err != nil {
		return next, err
	}
	signOffs, err := l.checkAcceptance(ctx, head, b, hash)
	if err != nil {
		return Head{}, err
	}
	writes, err := acceptanceWrites(next, rowVersion, signOffs)
	if err != nil {
		return Head{}, err
	}
	if err := l.commit(ctx, next, writes); err != nil {
		return Head{}, err
	}
	if l.syncer != nil {
		l.syncer.installAccepted(&AcceptedBundle{Head: next, SignOffs: signOffs, Body: body})
	}
	return next, nil
}

// alreadyAccepted reports whether next is accepted already. It returns an error
// if its version belongs to another bundle or its base is not the current one.
func (l *Lifecycle) alreadyAccepted(ctx context.Context, head, next Head) (bool, error) {
	if head.Version < next.Version {
		if head.Version+1 != next.Version {
			return false, result.Errorf(result.BundleOutdated, "the base is %d; version %d of %s is in force", next.Version-1, head.Version, head.Author)
		}
		return false, nil
	}
	if head == next {
		return true, nil
	}
	a, err := l.accepted(ctx, next.Version)
	if err != nil {
		return false, err
	}
	if a.Head == next {
		return true, nil
	}
	return false, result.Errorf(result.BundleConflict, "version %d is the bundle %s of %s", a.Version, a.Hash, a.Author)
}

// checkAcceptance returns the sign-offs of the proposal, or an error that lists
// every reason why it cannot be accepted.
func (l *Lifecycle) checkAcceptance(ctx context.Context, head Head, b *Bundle, hash string) ([]SignOff, error) {
	currentBundle, err := l.inForce(ctx, head)
	if err != nil {
		return nil, err
	}
	if err := reasonsError(result.BundleBad, Validate(b)); err != nil {
		return nil, err
	}
	stored, err := l.signOffs(ctx, hash)
	if err != nil {
		return nil, err
	}
	if err := checkSignOffs(b, hash, stored, currentBundle); err != nil {
		return nil, err
	}
	rejectionReasons, err := l.rejectionReasons(ctx, currentBundle, b)
	if err != nil {
		return nil, err
	}
	return stored, reasonsError(result.BundleStrandsWork, rejectionReasons)
}

// acceptanceWrites returns the writes of the commit that accepts next. The same
// commit deletes the rows of the proposal and of its sign-offs.
func acceptanceWrites(next Head, rowVersion uint64, signOffs []SignOff) ([]contract.Write, error) {
	current, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	record, err := json.Marshal(AcceptedBundle{Head: next, SignOffs: signOffs})
	if err != nil {
		return nil, err
	}
	head := contract.Write{Key: currentKey, If: contract.IfVersion, Version: rowVersion, Do: contract.Put, Value: current}
	if rowVersion == 0 {
		head.If = contract.IfAbsent
	}
	writes := []contract.Write{
		head,
		{Key: versionKey(next.Version), If: contract.IfAbsent, Do: contract.Put, Value: record},
		{Key: proposalKey(next.Hash), If: contract.Always, Do: contract.Delete},
	}
	for _, signOff := range signOffs {
		writes = append(writes, contract.Write{Key: signOffKey(next.Hash, signOff.Reviewer), If: contract.Always, Do: contract.Delete})
	}
	return writes, nil
}

// commit applies the acceptance. Repeating it is safe because its condition on
// the row of the current version holds only once.
func (l *Lifecycle) commit(ctx context.Context, next Head, writes []contract.Write) error {
	for range maxCommitAttempts {
		_, err := l.tables.Commit(ctx, writes)
		if err == nil {
			return nil
		}
		if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
			return err
		}
		head, _, readErr := l.current(ctx)
		if readErr == nil {
			if done, err := l.alreadyAccepted(ctx, head, next); done || err != nil {
				return err
			}
		}
		if err := waitRetry(ctx); err != nil {
			return err
		}
	}
	return result.Errorf(result.PlatformUnknown, "the outcome of the commit is unknown; try again")
}
