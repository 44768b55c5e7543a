package bundle

import (
	"context"
	"encoding/json"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Accept puts a proposal in force by one commit on the condition that its base
// is still current. Of operators who race one wins; the others get
// result.BundleConflict, which names the winner. Accepting what is accepted
// already changes nothing. A lost answer is resolved by reading; where that
// fails until ctx ends the error is result.PlatformUnknown and the caller asks
// again.
func (s *Lifecycle) Accept(ctx context.Context, hash string) (Head, error) {
	b, body, err := s.bundle(ctx, hash)
	if err != nil {
		return Head{}, err
	}
	next := Head{Version: b.Version, Hash: hash, Author: b.Author}
	head, row, err := s.current(ctx)
	if err != nil {
		return Head{}, err
	}
	if done, err := s.settled(ctx, head, next); done || err != nil {
		return next, err
	}
	signs, err := s.acceptable(ctx, head, b, hash)
	if err != nil {
		return Head{}, err
	}
	writes, err := acceptance(next, row, signs)
	if err != nil {
		return Head{}, err
	}
	if err := s.commit(ctx, next, writes); err != nil {
		return Head{}, err
	}
	if s.keeper != nil {
		s.keeper.offer(&Accepted{Head: next, SignOffs: signs, Body: body})
	}
	return next, nil
}

// settled reports whether next is accepted already, or the conflict where
// another bundle has its version or its base is not current.
func (s *Lifecycle) settled(ctx context.Context, head, next Head) (bool, error) {
	if head.Version < next.Version {
		if head.Version+1 != next.Version {
			return false, result.Errorf(result.BundleOutdated, "the base is %d; version %d of %s is in force", next.Version-1, head.Version, head.Author)
		}
		return false, nil
	}
	if head == next {
		return true, nil
	}
	a, err := s.accepted(ctx, next.Version)
	if err != nil {
		return false, err
	}
	if a.Head == next {
		return true, nil
	}
	return false, result.Errorf(result.BundleConflict, "version %d is the bundle %s of %s", a.Version, a.Hash, a.Author)
}

// acceptable returns the sign-offs, or every reason against the acceptance.
func (s *Lifecycle) acceptable(ctx context.Context, head Head, b *Bundle, hash string) ([]SignOff, error) {
	now, err := s.inForce(ctx, head)
	if err != nil {
		return nil, err
	}
	if err := refused(result.BundleBad, Validate(b)); err != nil {
		return nil, err
	}
	signs, err := s.signOffs(ctx, hash)
	if err != nil {
		return nil, err
	}
	if err := signedOff(b, hash, signs, now); err != nil {
		return nil, err
	}
	reasons, err := s.reasons(ctx, now, b)
	if err != nil {
		return nil, err
	}
	return signs, refused(result.BundleStrands, reasons)
}

// acceptance is the one commit that accepts next. The proposal's rows go with it.
func acceptance(next Head, row uint64, signs []SignOff) ([]contract.Write, error) {
	current, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	record, err := json.Marshal(Accepted{Head: next, SignOffs: signs})
	if err != nil {
		return nil, err
	}
	head := contract.Write{Key: currentKey, If: contract.IfVersion, Version: row, Do: contract.Put, Value: current}
	if row == 0 {
		head.If = contract.IfAbsent
	}
	writes := []contract.Write{
		head,
		{Key: versionKey(next.Version), If: contract.IfAbsent, Do: contract.Put, Value: record},
		{Key: proposalKey(next.Hash), If: contract.Always, Do: contract.Delete},
	}
	for _, sign := range signs {
		writes = append(writes, contract.Write{Key: signOffKey(next.Hash, sign.Reviewer), If: contract.Always, Do: contract.Delete})
	}
	return writes, nil
}

// commit applies the acceptance. Repeating it is safe: its condition holds once.
func (s *Lifecycle) commit(ctx context.Context, next Head, writes []contract.Write) error {
	for range commitTries {
		_, err := s.tables.Commit(ctx, writes)
		if err == nil {
			return nil
		}
		if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
			return err
		}
		head, _, readErr := s.current(ctx)
		if readErr == nil {
			if done, err := s.settled(ctx, head, next); done || err != nil {
				return err
			}
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
	return result.Errorf(result.PlatformUnknown, "ask again: the outcome is not known")
}
