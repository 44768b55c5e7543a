package idempotency

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"skylarkport/internal/contract"
	"skylarkport/internal/forward"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/result"
)

var logger = obs.Logger("idempotency")

// Methods between entries.
const (
	methodClaim  = "keys.claim"  // claimRequest to claimReply
	methodFinish = "keys.finish" // finishRequest
)

// Timing of the store.
const (
	openTimeout  = 2 * time.Second
	claimTimeout = 2 * time.Second
	tendEvery    = time.Second
	// calmTime is the pause after another entry took a range over, before
	// this one takes it back.
	calmTime = 5 * time.Second
	// settleTime is the time after the start in which the view of the peers
	// is not complete, so that no range is taken over.
	settleTime   = 3 * time.Second
	finishTries  = 4
	finishPause  = 200 * time.Millisecond
	freeTimeout  = 2 * time.Second
	journalStart = "keys/"
)

// claimRequest asks the owner of the key's range for a claim. Token is chosen by
// the entry that asks and never used twice.
type claimRequest struct {
	Key         string        `json:"key"` // with service and tenant
	Token       string        `json:"token"`
	Fingerprint uint64        `json:"fp"`
	Timeout     time.Duration `json:"timeout_ns"`
}

// claimReply holds the first request's answer, or none where the claim stands.
type claimReply struct {
	Answer *forward.Answer `json:"answer,omitempty"`
}

// finishRequest tells the owner how the request of a claim ended.
type finishRequest struct {
	Key   string      `json:"key"`
	Token string      `json:"token"`
	End   forward.End `json:"end"`
}

// Config is what a Store stands on.
type Config struct {
	Ranges  int // the same on every entry of the deployment
	Group   member.Group
	Tables  contract.Tables
	Objects contract.Objects
}

// Store records keys at the owners of their ranges. It implements forward.Keys.
type Store struct {
	cfg   Config
	start time.Time

	mu     sync.Mutex
	owned  map[int]*keyRange
	opened map[int]chan struct{} // closed when a take-over in progress ends
	calm   map[int]time.Duration // no take-over before then
}

var _ forward.Keys = (*Store)(nil)

// NewStore returns a store. It registers with the group, so it is made before
// the group runs.
func NewStore(cfg Config) *Store {
	s := &Store{
		cfg: cfg, start: time.Now(),
		owned: make(map[int]*keyRange), opened: make(map[int]chan struct{}), calm: make(map[int]time.Duration),
	}
	cfg.Group.Handle(methodClaim, func(ctx context.Context, _ member.Peer, params json.RawMessage) (any, error) {
		var q claimRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, result.Wrap(result.RequestBad, err, methodClaim)
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		return s.claimHere(ctx, q)
	})
	cfg.Group.Handle(methodFinish, func(ctx context.Context, _ member.Peer, params json.RawMessage) (any, error) {
		var q finishRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, result.Wrap(result.RequestBad, err, methodFinish)
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		return nil, s.finishHere(ctx, q)
	})
	return s
}

func (s *Store) now() time.Duration { return time.Since(s.start) }

func (s *Store) rangeOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(s.cfg.Ranges))
}

// ownerOf returns the live entry that should own range n: the one with the
// highest hash of its instance and the range, over all zones.
func (s *Store) ownerOf(n int) member.Peer {
	best := s.cfg.Group.Self()
	most := weight(best.Instance, n)
	for _, p := range s.cfg.Group.View().Peers {
		if p.Program != member.Entry || p.State == member.Dead || p.State == member.Leaving {
			continue
		}
		if w := weight(p.Instance, n); w > most {
			best, most = p, w
		}
	}
	return best
}

func weight(instance string, n int) uint64 {
	return xxhash.Sum64String(instance + "#" + strconv.Itoa(n))
}

// keyOf joins the parts of a key; none of them holds a space.
func keyOf(c forward.Claim) string { return c.Service + " " + c.Tenant + " " + c.Key }

// Claim implements forward.Keys.
func (s *Store) Claim(ctx context.Context, c forward.Claim) (forward.Claimed, error) {
	q := claimRequest{Key: keyOf(c), Token: uuid.NewString(), Fingerprint: c.Fingerprint, Timeout: c.Timeout}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := s.claimAt(call, s.ownerOf(s.rangeOf(q.Key)), q)
	if err == nil {
		return forward.Claimed{Token: q.Token, Answer: reply.Answer}, nil
	}
	if decided(err) {
		return forward.Claimed{}, err
	}
	// The claim may stand although its answer was lost. Nothing was sent, so
	// it is freed.
	go s.free(q)
	return forward.Claimed{}, result.Wrap(result.KeyStoreAway, err, "claim")
}

// decided reports whether err is the owner's word on the key.
func decided(err error) bool {
	switch result.Of(err) {
	case result.KeyBusy, result.KeyMismatch, result.KeyAnswerTooLarge, result.OutcomeUnknown:
		return true
	}
	return false
}

func (s *Store) claimAt(ctx context.Context, owner member.Peer, q claimRequest) (claimReply, error) {
	if owner.ID == s.cfg.Group.Self().ID {
		return s.claimHere(ctx, q)
	}
	var reply claimReply
	err := s.cfg.Group.Call(ctx, owner.ID, methodClaim, q, &reply)
	return reply, err
}

func (s *Store) claimHere(ctx context.Context, q claimRequest) (claimReply, error) {
	r, err := s.own(ctx, s.rangeOf(q.Key))
	if err != nil {
		return claimReply{}, err
	}
	answer, err := r.claim(ctx, q)
	return claimReply{Answer: answer}, err
}

func (s *Store) free(q claimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := s.finish(ctx, finishRequest{Key: q.Key, Token: q.Token, End: forward.End{NotRun: true}}); err != nil {
		logger.WithError(err).Info("a claim whose request was not sent may stay")
	}
}

// Finish implements forward.Keys.
func (s *Store) Finish(ctx context.Context, c forward.Claim, token string, e forward.End) error {
	return s.finish(ctx, finishRequest{Key: keyOf(c), Token: token, End: e})
}

// finish tells the owner, and its successor where it changes.
func (s *Store) finish(ctx context.Context, q finishRequest) error {
	var err error
	for range finishTries {
		owner := s.ownerOf(s.rangeOf(q.Key))
		if owner.ID == s.cfg.Group.Self().ID {
			err = s.finishHere(ctx, q)
		} else {
			err = s.cfg.Group.Call(ctx, owner.ID, methodFinish, q, nil)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(finishPause):
		}
	}
	return err
}

func (s *Store) finishHere(ctx context.Context, q finishRequest) error {
	r, err := s.own(ctx, s.rangeOf(q.Key))
	if err != nil {
		return err
	}
	return r.finish(ctx, q)
}
