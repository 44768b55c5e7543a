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

// Methods of the calls between entries, to the owner of a key's range.
const (
	methodClaim  = "keys.claim"  // takes a claimRequest, returns a claimReply
	methodFinish = "keys.finish" // takes a finishRequest
)

// Parameters of the store.
const (
	takeoverTimeout  = 2 * time.Second
	claimTimeout     = 2 * time.Second
	maintainInterval = time.Second
	// retakeDelay is the delay before this entry takes back a range that
	// another entry has taken over, so that two entries with different
	// membership views do not take it from each other continuously.
	retakeDelay = 5 * time.Second
	// membershipSettleTime is the time after the start during which the entry
	// takes over no range, because its view of the other entries is incomplete.
	membershipSettleTime = 3 * time.Second
	finishAttempts       = 4
	finishRetryDelay     = 200 * time.Millisecond
	freeTimeout          = 2 * time.Second
	journalPrefix        = "keys/"
)

// claimRequest asks the owner of the key's range to record a claim. Token is
// unique and identifies the claim; the requesting entry chooses it.
type claimRequest struct {
	Key         string        `json:"key"` // includes service and organisation, see qualifiedKey
	Token       string        `json:"token"`
	Fingerprint uint64        `json:"fp"`
	Timeout     time.Duration `json:"timeout_ns"`
}

// claimReply holds the stored response of the first request, or nil if the claim
// was recorded.
type claimReply struct {
	Response *forward.StoredResponse `json:"answer,omitempty"`
}

// finishRequest reports to the owner how the request of a claim ended.
type finishRequest struct {
	Key            string          `json:"key"`
	Token          string          `json:"token"`
	RequestOutcome forward.Outcome `json:"end"`
}

// Config holds the settings and dependencies of a Store.
type Config struct {
	Ranges  int // number of key ranges, the same on every entry of the deployment
	Group   member.Group
	Tables  contract.Tables
	Objects contract.Objects
}

// Store implements forward.KeyStore. It records each key at the entry that owns the
// key's range, which may be this one.
type Store struct {
	cfg   Config
	start time.Time

	mu          sync.Mutex
	owned       map[int]*keyRange
	takeovers   map[int]chan struct{} // by range: closed when the takeover in progress ends
	retakeAfter map[int]time.Duration // by range: no takeover before this time
}

var _ forward.KeyStore = (*Store)(nil)

// NewStore returns a Store and registers its handlers with the group. It must
// be called before the group runs.
func NewStore(cfg Config) *Store {
	s := &Store{
		cfg: cfg, start: time.Now(),
		owned: make(map[int]*keyRange), takeovers: make(map[int]chan struct{}), retakeAfter: make(map[int]time.Duration),
	}
	cfg.Group.Handle(methodClaim, func(ctx context.Context, _ member.Peer, params json.RawMessage) (any, error) {
		var q claimRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, result.Wrap(result.RequestBad, err, methodClaim)
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		return s.claimLocal(ctx, q)
	})
	cfg.Group.Handle(methodFinish, func(ctx context.Context, _ member.Peer, params json.RawMessage) (any, error) {
		var q finishRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, result.Wrap(result.RequestBad, err, methodFinish)
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		return nil, s.finishLocal(ctx, q)
	})
	return s
}

func (s *Store) now() time.Duration { return time.Since(s.start) }

// rangeOf returns the number of the range that key belongs to, by its hash.
func (s *Store) rangeOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(s.cfg.Ranges))
}

// ownerOf returns the live entry that should own keyRange, by rendezvous
// hashing: the entry of any zone with the highest hash of its instance and the
// range.
func (s *Store) ownerOf(keyRange int) member.Peer {
	owner := s.cfg.Group.Self()
	highest := rendezvousWeight(owner.Instance, keyRange)
	for _, p := range s.cfg.Group.View().Peers {
		if p.Program != member.Entry || p.State == member.Dead || p.State == member.Leaving {
			continue
		}
		if w := rendezvousWeight(p.Instance, keyRange); w > highest {
			owner, highest = p, w
		}
	}
	return owner
}

// rendezvousWeight returns the weight of an instance for a range of the keys. The
// instance with the highest weight owns the range.
func rendezvousWeight(instance string, keyRange int) uint64 {
	return xxhash.Sum64String(instance + "#" + strconv.Itoa(keyRange))
}

// qualifiedKey joins the service, the organisation and the caller's key. None
// of them contains a space.
func qualifiedKey(c forward.Claim) string { return c.Service + " " + c.Organisation + " " + c.Key }

// Claim implements forward.KeyStore.
func (s *Store) Claim(ctx context.Context, c forward.Claim) (forward.ClaimResult, error) {
	q := claimRequest{Key: qualifiedKey(c), Token: uuid.NewString(), Fingerprint: c.Fingerprint, Timeout: c.Timeout}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := s.claimAtOwner(call, s.ownerOf(s.rangeOf(q.Key)), q)
	if err == nil {
		return forward.ClaimResult{Token: q.Token, Response: reply.Response}, nil
	}
	if isKeyRefusal(err) {
		return forward.ClaimResult{}, err
	}
	// The claim may have been recorded although the response was lost. The
	// request is not sent, so the claim is removed.
	go s.freeClaim(q)
	return forward.ClaimResult{}, result.Wrap(result.KeyStoreUnavailable, err, "claim idempotency key")
}

// isKeyRefusal reports whether the owner refused the key because of its earlier
// use. Any other error leaves open whether the claim was recorded.
func isKeyRefusal(err error) bool {
	switch result.Of(err) {
	case result.KeyBusy, result.KeyMismatch, result.KeyResponseTooLarge, result.OutcomeUnknown:
		return true
	}
	return false
}

func (s *Store) claimAtOwner(ctx context.Context, owner member.Peer, q claimRequest) (claimReply, error) {
	if owner.ID == s.cfg.Group.Self().ID {
		return s.claimLocal(ctx, q)
	}
	var reply claimReply
	err := s.cfg.Group.Call(ctx, owner.ID, methodClaim, q, &reply)
	return reply, err
}

// claimLocal records a claim in a range that this entry owns or takes over.
func (s *Store) claimLocal(ctx context.Context, q claimRequest) (claimReply, error) {
	r, err := s.ensureOwned(ctx, s.rangeOf(q.Key))
	if err != nil {
		return claimReply{}, err
	}
	response, err := r.claim(ctx, q)
	return claimReply{Response: response}, err
}

// freeClaim removes a claim whose request was not sent.
func (s *Store) freeClaim(q claimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := s.finish(ctx, finishRequest{Key: q.Key, Token: q.Token, RequestOutcome: forward.Outcome{NotRun: true}}); err != nil {
		logger.WithError(err).Info("claim may remain although its request was not sent")
	}
}

// Finish implements forward.KeyStore.
func (s *Store) Finish(ctx context.Context, c forward.Claim, token string, outcome forward.Outcome) error {
	return s.finish(ctx, finishRequest{Key: qualifiedKey(c), Token: token, RequestOutcome: outcome})
}

// finish reports the end of a request to the owner of the key's range. It
// retries, and determines the owner again each time, because it may change.
func (s *Store) finish(ctx context.Context, q finishRequest) error {
	var err error
	for range finishAttempts {
		owner := s.ownerOf(s.rangeOf(q.Key))
		if owner.ID == s.cfg.Group.Self().ID {
			err = s.finishLocal(ctx, q)
		} else {
			err = s.cfg.Group.Call(ctx, owner.ID, methodFinish, q, nil)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(finishRetryDelay):
		}
	}
	return err
}

func (s *Store) finishLocal(ctx context.Context, q finishRequest) error {
	r, err := s.ensureOwned(ctx, s.rangeOf(q.Key))
	if err != nil {
		return err
	}
	return r.finish(ctx, q)
}
