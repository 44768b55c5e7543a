package bundle

import (
	"context"
	"encoding/json"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// retryPause is the wait before a write whose outcome is unknown is repeated
// under its condition.
const retryPause = 100 * time.Millisecond

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnknown, ctx.Err(), "ask again: the outcome is not known")
	case <-time.After(retryPause):
		return nil
	}
}

// Proposal is a bundle that waits for its acceptance.
type Proposal struct {
	Hash    string `json:"hash"`
	Version uint64 `json:"version"` // that it gets
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Note    string `json:"note"`
}

// Review is what a reviewer reads before the sign-off.
type Review struct {
	Proposal
	Bundle   *Bundle  `json:"bundle"`
	Changes  []Change `json:"changes"`   // against the bundle in force
	Reasons  []Reason `json:"reasons"`   // against accepting it now
	SignOffs []string `json:"sign_offs"` // reviewers whose sign-off holds
	Needed   int      `json:"needed"`    // sign-offs
}

// Status is the state of the life cycle.
type Status struct {
	Current   Head       `json:"current"`  // accepted last; version 0 for none
	InForce   Head       `json:"in_force"` // on this instance
	Proposals []Proposal `json:"proposals"`
}

// Strands returns every reason why next would strand running work: a tenant or
// service that is gone while its tasks run, a quota below what runs.
type Strands func(ctx context.Context, now, next *Bundle) ([]Reason, error)

// Lifecycle is the life cycle of bundles for operators. All methods are safe for
// concurrent use, on any instance.
type Lifecycle struct {
	store
	initial *Bundle
	strands Strands
	keeper  *Keeper
}

// NewLifecycle returns the life cycle. initial is the first bundle of a new
// deployment; without it the first proposal is refused, as nobody may sign it
// off. keeper tells what is in force here and may be nil.
func NewLifecycle(tables contract.Tables, objects contract.Objects, initial *Bundle, keeper *Keeper, strands Strands) *Lifecycle {
	return &Lifecycle{store: store{tables, objects}, initial: initial, strands: strands, keeper: keeper}
}

// Propose stores a bundle that an operator wrote. by is the operator's
// authenticated name, which must be the author's; it is empty where operators
// are not authenticated. Proposing the same again changes nothing.
func (s *Lifecycle) Propose(ctx context.Context, data []byte, by string) (Proposal, error) {
	b, err := Parse(data)
	if err != nil {
		return Proposal{}, err
	}
	if by != "" && by != b.Author {
		return Proposal{}, refused(result.BundleBad, []Reason{{"author", "the operator's name, " + by}})
	}
	head, _, err := s.current(ctx)
	if err != nil {
		return Proposal{}, err
	}
	if head.Version != b.Base {
		return Proposal{}, result.Errorf(result.BundleOutdated, "the base is %d; version %d of %s is in force", b.Base, head.Version, head.Author)
	}
	return s.putProposal(ctx, b)
}

func (s *Lifecycle) putProposal(ctx context.Context, b *Bundle) (Proposal, error) {
	body, err := Encode(b)
	if err != nil {
		return Proposal{}, err
	}
	p := Proposal{Hash: HashOf(body), Version: b.Version, Base: b.Base, Author: b.Author, Note: b.Note}
	if err := s.objects.Put(ctx, objectName(p.Hash), body); err != nil {
		return Proposal{}, err
	}
	value, err := json.Marshal(p)
	if err != nil {
		return Proposal{}, err
	}
	_, err = s.putOnce(ctx, proposalKey(p.Hash), value)
	return p, err
}

// Review returns a proposal with all that speaks against it.
func (s *Lifecycle) Review(ctx context.Context, hash string) (Review, error) {
	b, _, err := s.bundle(ctx, hash)
	if err != nil {
		return Review{}, err
	}
	head, _, err := s.current(ctx)
	if err != nil {
		return Review{}, err
	}
	now, err := s.inForce(ctx, head)
	if err != nil {
		return Review{}, err
	}
	signs, err := s.signOffs(ctx, hash)
	if err != nil {
		return Review{}, err
	}
	reasons, err := s.reasons(ctx, now, b)
	if err != nil {
		return Review{}, err
	}
	r := Review{
		Proposal: Proposal{hash, b.Version, b.Base, b.Author, b.Note},
		Bundle:   b, Changes: Diff(now, b), Reasons: reasons, Needed: now.SignOffs,
	}
	for _, sign := range signs {
		if sign.verify(b, now.Reviewers) == nil {
			r.SignOffs = append(r.SignOffs, sign.Reviewer)
		}
	}
	return r, nil
}

// inForce returns the bundle that head names, the first one for version 0.
func (s *Lifecycle) inForce(ctx context.Context, head Head) (*Bundle, error) {
	if head.Version == 0 {
		return s.first()
	}
	b, _, err := s.bundle(ctx, head.Hash)
	return b, err
}

func (s *Lifecycle) first() (*Bundle, error) {
	if s.initial == nil {
		return nil, result.Errorf(result.BundleUnknown, "no bundle was accepted and the settings name no bundle_file")
	}
	return s.initial, nil
}

func (s *Lifecycle) reasons(ctx context.Context, now, next *Bundle) ([]Reason, error) {
	reasons := Validate(next)
	if s.strands == nil {
		return reasons, nil
	}
	stranded, err := s.strands(ctx, now, next)
	return append(reasons, stranded...), err
}

// Sign stores a reviewer's sign-off. Storing the same again changes nothing.
func (s *Lifecycle) Sign(ctx context.Context, sign SignOff) error {
	b, _, err := s.bundle(ctx, sign.Hash)
	if err != nil {
		return err
	}
	head, _, err := s.current(ctx)
	if err != nil {
		return err
	}
	if head.Version != b.Base {
		return result.Errorf(result.BundleOutdated, "the base is %d; version %d of %s is in force", b.Base, head.Version, head.Author)
	}
	now, err := s.inForce(ctx, head)
	if err != nil {
		return err
	}
	if err := sign.verify(b, now.Reviewers); err != nil {
		return err
	}
	value, err := json.Marshal(sign)
	if err != nil {
		return err
	}
	_, err = s.putOnce(ctx, signOffKey(sign.Hash, sign.Reviewer), value)
	return err
}

// maxProposals bounds the proposals that Status lists.
const maxProposals = 1000

// Status returns what is accepted, what is in force here and what waits.
func (s *Lifecycle) Status(ctx context.Context) (Status, error) {
	var out Status
	if s.keeper != nil {
		out.InForce = s.keeper.Head()
	}
	head, _, err := s.current(ctx)
	if err != nil {
		return out, err
	}
	out.Current = head
	rows, err := s.tables.Scan(ctx, table, proposalPrefix, proposalPrefix[:len(proposalPrefix)-1]+prefixEnd, maxProposals)
	if err != nil {
		return out, err
	}
	for _, row := range rows {
		var p Proposal
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return out, result.Wrap(result.BundleBad, err, row.Key.Row)
		}
		out.Proposals = append(out.Proposals, p)
	}
	return out, nil
}

// Version returns an accepted bundle, or result.BundleUnknown. Version 0 is the
// first bundle of the deployment.
func (s *Lifecycle) Version(ctx context.Context, version uint64) (*Bundle, error) {
	if version == 0 {
		return s.first()
	}
	a, err := s.accepted(ctx, version)
	if err != nil {
		return nil, err
	}
	b, _, err := s.bundle(ctx, a.Hash)
	return b, err
}

// Diff returns the changes between two accepted versions.
func (s *Lifecycle) Diff(ctx context.Context, from, to uint64) ([]Change, error) {
	a, err := s.Version(ctx, from)
	if err != nil {
		return nil, err
	}
	b, err := s.Version(ctx, to)
	if err != nil {
		return nil, err
	}
	return Diff(a, b), nil
}
