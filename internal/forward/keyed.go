package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkport/internal/result"
)

// Claim asks for the right to send a keyed request.
type Claim struct {
	Service     string        `json:"service"`
	Tenant      string        `json:"tenant"`
	Key         string        `json:"key"`
	Fingerprint uint64        `json:"fingerprint"` // of method, path, query and body
	Timeout     time.Duration `json:"timeout_ns"`  // until the claim's request has ended
}

// Answer is a whole answer that is kept for whoever asks again.
type Answer struct {
	Status   int         `json:"status"`
	Header   http.Header `json:"header"`
	Body     []byte      `json:"body"`
	TooLarge bool        `json:"too_large,omitempty"` // the answer was whole, but is not kept
}

// End is how a claimed request ended.
type End struct {
	Answer *Answer `json:"answer,omitempty"` // nil for none
	NotRun bool    `json:"not_run"`          // proved: the key may be claimed again
}

// Claimed is a claim that was recorded. Token names it towards Finish.
type Claimed struct {
	Token  string  `json:"token"`
	Answer *Answer `json:"answer,omitempty"` // the first request's, which is not to be sent again
}

// Keys records idempotency keys across all entries.
type Keys interface {
	// Claim records the claim before it returns. Its errors are
	// result.KeyBusy, KeyMismatch, KeyAnswerTooLarge, OutcomeUnknown and
	// KeyStoreAway.
	Claim(ctx context.Context, c Claim) (Claimed, error)
	// Finish records how the claimed request ended.
	Finish(ctx context.Context, c Claim, token string, e End) error
}

// Bounds of kept answers.
const (
	// MaxKept is the largest body, in bytes, that is kept for a key.
	MaxKept = 64 << 10
	// finishTimeout bounds the recording of a keyed request's end.
	finishTimeout = 2 * time.Second
)

// keyed serves a request with an idempotency key. It goes on when the caller
// leaves, so that the answer is there when the caller asks again.
func (h *Handler) keyed(w http.ResponseWriter, r *http.Request, c *call) {
	if h.cfg.Keys == nil {
		h.refuse(w, c, unsent(result.KeyStoreAway, "no key store is connected"))
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	defer cancel()
	claim := c.claim()
	got, err := h.cfg.Keys.Claim(ctx, claim)
	if err != nil {
		h.refuse(w, c, keyFailure(err))
		return
	}
	if got.Answer != nil {
		got.Answer.write(w)
		h.done(c, result.OK)
		return
	}
	h.claimed(ctx, w, c, claim, got.Token)
}

// keyFailure returns the refusal of a claim. Nothing was sent for this call; a
// code that says otherwise speaks of the first request with the key.
func keyFailure(err error) *failure {
	f := failureOf(err)
	switch f.code {
	case result.KeyBusy, result.KeyMismatch, result.KeyAnswerTooLarge, result.OutcomeUnknown, result.KeyStoreAway:
		return f
	}
	return &failure{code: result.KeyStoreAway, detail: f.detail, notRun: true}
}

// claimed sends the request that holds the claim.
func (h *Handler) claimed(ctx context.Context, w http.ResponseWriter, c *call, claim Claim, token string) {
	a, f := h.send(ctx, c)
	if f != nil {
		h.finishKey(ctx, claim, token, End{NotRun: f.notRun})
		h.refuse(w, c, f)
		return
	}
	body, whole, err := readKept(a.resp.Body, c.maxAnswer)
	a.finish(err)
	if err != nil {
		h.finishKey(ctx, claim, token, End{})
		h.refuse(w, c, conclude(c, &failure{code: result.UpstreamBroken, detail: err.Error()}))
		return
	}
	ans := &Answer{Status: a.resp.StatusCode, Header: make(http.Header), Body: body}
	copyHeader(ans.Header, a.resp.Header, ownAnswer)
	if a.hop && a.resp.Header.Get(HeaderResult) != okResult[0] {
		h.elsewhereRefused(ctx, w, c, claim, token, a.resp, body)
		return
	}
	kept := ans
	if !whole {
		kept = &Answer{Status: ans.Status, TooLarge: true}
	}
	h.finishKey(ctx, claim, token, End{Answer: kept})
	ans.write(w)
	h.done(c, result.OK)
}

// elsewhereRefused passes on the refusal of another zone's entry.
func (h *Handler) elsewhereRefused(ctx context.Context, w http.ResponseWriter, c *call, claim Claim, token string, resp *http.Response, body []byte) {
	h.finishKey(ctx, claim, token, End{NotRun: resp.Header.Get(HeaderNotRun) == "true"})
	head(w, c, resp, true)
	_, _ = w.Write(body)
	h.done(c, result.Code(atoi(resp.Header.Get(HeaderResult))))
}

// finishKey records the end. Where that fails the claim stays without an end,
// and whoever asks again is told that the outcome is not known.
func (h *Handler) finishKey(ctx context.Context, claim Claim, token string, e End) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := h.cfg.Keys.Finish(ctx, claim, token, e); err != nil {
		h.cfg.Recorder.KeyEndLost()
	}
}

// readKept reads a whole body and reports whether it is small enough to keep.
func readKept(r io.Reader, most int64) ([]byte, bool, error) {
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, false, result.Wrap(result.UpstreamBroken, err, "body")
	}
	if int64(len(b)) > most {
		return nil, false, result.Errorf(result.UpstreamBroken, "answer over %d bytes", most)
	}
	return b, len(b) <= MaxKept, nil
}

// write answers with a kept answer.
func (a *Answer) write(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h[HeaderResult] = okResult
	if bodyAllowed(a.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// claim describes the call to the key store.
func (c *call) claim() Claim {
	d := xxhash.New()
	for _, s := range []string{c.method, c.path, c.query} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return Claim{Service: c.service, Tenant: c.tenant, Key: c.key, Fingerprint: d.Sum64(), Timeout: c.left()}
}
