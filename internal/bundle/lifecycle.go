package bundle

import (
	"context"
	"encoding/json"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// retryInterval is the time before a conditional write whose outcome is unknown is
// repeated.
const retryInterval = 100 * time.Millisecond

// waitRetry waits for retryInterval, or returns result.PlatformUnknown when ctx
// ends.
func waitRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnknown, ctx.Err(), "the outcome of the commit is unknown; try again")
	case <-time.After(retryInterval):
		return nil
	}
}

// Proposal describes a bundle that has been proposed and not yet accepted.
type Proposal struct {
	Hash    string `json:"hash"`
	Version uint64 `json:"version"` // version that it gets when accepted
	Base    uint64 `json:"base"`
	Author  string `json:"author"`
	Note    string `json:"note"`
}

// Review holds what a reviewer needs to decide on a sign-off.
type Review struct {
	Proposal
	Bundle           *Bundle  `json:"bundle"`
	Changes          []Change `json:"changes"`   // against the bundle in force
	Reasons          []Reason `json:"reasons"`   // why it cannot be accepted now
	SignOffs         []string `json:"sign_offs"` // reviewers whose sign-off verifies
	RequiredSignOffs int      `json:"needed"`    // number of sign-offs that acceptance needs
}

// Status lists the accepted bundle, the bundle in force and the open proposals.
type Status struct {
	Current   Head       `json:"current"`  // last accepted bundle; version 0 for none
	InForce   Head       `json:"in_force"` // bundle in force on this instance
	Proposals []Proposal `json:"proposals"`
}

// StrandedWorkCheck returns every reason why next does not fit the running work: an
// organisation or service that is removed while its tasks run, or a quota below
// what its running tasks use. now is the bundle in force.
type StrandedWorkCheck func(ctx context.Context, now, next *Bundle) ([]Reason, error)

// Lifecycle implements the operators' workflow: propose, review, sign off, accept.
// Its state is in the platform's table, so any instance can serve any step. All
// methods are safe for concurrent use.
type Lifecycle struct {
	store
	initialBundle *Bundle
	checkStranded StrandedWorkCheck
	syncer        *Syncer
}

// NewLifecycle returns a Lifecycle. initialBundle is the first bundle of a new
// deployment; without it the first proposal cannot be accepted, as there are no
// reviewers to sign it off. syncer provides the bundle in force on this instance
// and is given accepted bundles; it may be nil. checkStranded may be nil for no check.
func NewLifecycle(tables contract.Tables, objects contract.Objects, initialBundle *Bundle, syncer *Syncer, checkStranded StrandedWorkCheck) *Lifecycle {
	return &Lifecycle{store: store{tables, objects}, initialBundle: initialBundle, checkStranded: checkStranded, syncer: syncer}
}

// Propose stores a bundle that an operator wrote. operator is the operator's
// authenticated name, which must equal the author's; it is empty where operators
// are not authenticated. Propose is idempotent.
func (l *Lifecycle) Propose(ctx context.Context, data []byte, operator string) (Proposal, error) {
	b, err := Parse(data)
	if err != nil {
		return Proposal{}, err
	}
	if operator != "" && operator != b.Author {
		return Proposal{}, reasonsError(result.BundleBad, []Reason{{"author", "the operator's name, " + operator}})
	}
	head, _, err := l.current(ctx)
	if err != nil {
		return Proposal{}, err
	}
	if head.Version != b.Base {
		return Proposal{}, result.Errorf(result.BundleOutdated, "the base is %d; version %d of %s is in force", b.Base, head.Version, head.Author)
	}
	return l.putProposal(ctx, b)
}

func (l *Lifecycle) putProposal(ctx context.Context, b *Bundle) (Proposal, error) {
	body, err := Encode(b)
	if err != nil {
		return Proposal{}, err
	}
	p := Proposal{Hash: HashOf(body), Version: b.Version, Base: b.Base, Author: b.Author, Note: b.Note}
	if err := l.objects.Put(ctx, objectName(p.Hash), body); err != nil {
		return Proposal{}, err
	}
	value, err := json.Marshal(p)
	if err != nil {
		return Proposal{}, err
	}
	_, err = l.putOnce(ctx, proposalKey(p.Hash), value)
	return p, err
}

// Review returns a proposal with its changes, its sign-offs and every reason why
// it cannot be accepted.
func (l *Lifecycle) Review(ctx context.Context, hash string) (Review, error) {
	b, _, err := l.bundle(ctx, hash)
	if err != nil {
		return Review{}, err
	}
	head, _, err := l.current(ctx)
	if err != nil {
		return Review{}, err
	}
	currentBundle, err := l.inForce(ctx, head)
	if err != nil {
		return Review{}, err
	}
	stored, err := l.signOffs(ctx, hash)
	if err != nil {
		return Review{}, err
	}
	rejectionReasons, err := l.rejectionReasons(ctx, currentBundle, b)
	if err != nil {
		return Review{}, err
	}
	r := Review{
		Proposal: Proposal{hash, b.Version, b.Base, b.Author, b.Note},
		Bundle:   b, Changes: Diff(currentBundle, b), Reasons: rejectionReasons, RequiredSignOffs: currentBundle.RequiredSignOffs,
	}
	for _, signOff := range stored {
		if signOff.verify(b, currentBundle.Reviewers) == nil {
			r.SignOffs = append(r.SignOffs, signOff.Reviewer)
		}
	}
	return r, nil
}

// inForce returns the bundle that head names, or the first bundle of the settings
// for version 0.
func (l *Lifecycle) inForce(ctx context.Context, head Head) (*Bundle, error) {
	if head.Version == 0 {
		return l.firstBundle()
	}
	b, _, err := l.bundle(ctx, head.Hash)
	return b, err
}

func (l *Lifecycle) firstBundle() (*Bundle, error) {
	if l.initialBundle == nil {
		return nil, result.Errorf(result.BundleUnknown, "no bundle has been accepted and the settings name no bundle_file")
	}
	return l.initialBundle, nil
}

func (l *Lifecycle) rejectionReasons(ctx context.Context, currentBundle, next *Bundle) ([]Reason, error) {
	rejectionReasons := Validate(next)
	if l.checkStranded == nil {
		return rejectionReasons, nil
	}
	strandedReasons, err := l.checkStranded(ctx, currentBundle, next)
	return append(rejectionReasons, strandedReasons...), err
}

// Sign verifies and stores a reviewer's sign-off. Sign is idempotent.
func (l *Lifecycle) Sign(ctx context.Context, signOff SignOff) error {
	b, _, err := l.bundle(ctx, signOff.Hash)
	if err != nil {
		return err
	}
	head, _, err := l.current(ctx)
	if err != nil {
		return err
	}
	if head.Version != b.Base {
		return result.Errorf(result.BundleOutdated, "the base is %d; version %d of %s is in force", b.Base, head.Version, head.Author)
	}
	currentBundle, err := l.inForce(ctx, head)
	if err != nil {
		return err
	}
	if err := signOff.verify(b, currentBundle.Reviewers); err != nil {
		return err
	}
	value, err := json.Marshal(signOff)
	if err != nil {
		return err
	}
	_, err = l.putOnce(ctx, signOffKey(signOff.Hash, signOff.Reviewer), value)
	return err
}

// maxProposals bounds the proposals that Status lists.
const maxProposals = 1000

// Status returns the last accepted bundle, the one in force on this instance, and
// the open proposals.
func (l *Lifecycle) Status(ctx context.Context) (Status, error) {
	var out Status
	if l.syncer != nil {
		out.InForce = l.syncer.Head()
	}
	head, _, err := l.current(ctx)
	if err != nil {
		return out, err
	}
	out.Current = head
	rows, err := l.tables.Scan(ctx, tableName, proposalPrefix, proposalPrefix[:len(proposalPrefix)-1]+prefixEnd, maxProposals)
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

// Version returns the accepted bundle of a version, or result.BundleUnknown if there
// is none. Version 0 is the first bundle of the deployment.
func (l *Lifecycle) Version(ctx context.Context, version uint64) (*Bundle, error) {
	if version == 0 {
		return l.firstBundle()
	}
	a, err := l.accepted(ctx, version)
	if err != nil {
		return nil, err
	}
	b, _, err := l.bundle(ctx, a.Hash)
	return b, err
}

// Diff returns the changes between two accepted versions.
func (l *Lifecycle) Diff(ctx context.Context, from, to uint64) ([]Change, error) {
	a, err := l.Version(ctx, from)
	if err != nil {
		return nil, err
	}
	b, err := l.Version(ctx, to)
	if err != nil {
		return nil, err
	}
	return Diff(a, b), nil
}
