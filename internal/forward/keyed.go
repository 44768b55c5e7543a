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

// Claim asks for the exclusive right to send the request with an idempotency key.
type Claim struct {
	Service      string        `json:"service"`
	Organisation string        `json:"tenant"`
	Key          string        `json:"key"`
	Fingerprint  uint64        `json:"fingerprint"` // hash of method, path, query and body
	Timeout      time.Duration `json:"timeout_ns"`  // time within which the request ends
}

// StoredResponse is a complete response that is stored for repeated requests with the same
// key.
type StoredResponse struct {
	Status   int         `json:"status"`
	Header   http.Header `json:"header"`
	Body     []byte      `json:"body"`
	TooLarge bool        `json:"too_large,omitempty"` // the response was complete but too large to be stored
}

// Outcome describes how a claimed request ended.
type Outcome struct {
	Response *StoredResponse `json:"answer,omitempty"` // nil if the request got no complete response
	NotRun   bool            `json:"not_run"`          // the request is proved not to have run, so the key may be claimed again
}

// ClaimResult is the result of a successful Claim. Either the caller holds the claim
// and passes Token to Finish, or Response is the stored response of an earlier
// request with the key.
type ClaimResult struct {
	Token    string          `json:"token"`
	Response *StoredResponse `json:"answer,omitempty"` // if set, the request must not be sent again
}

// KeyStore is the store of idempotency keys that all entries share.
type KeyStore interface {
	// Claim stores the claim before it returns. Its errors have the codes
	// result.KeyBusy, KeyMismatch, KeyResponseTooLarge, OutcomeUnknown and
	// KeyStoreUnavailable.
	Claim(ctx context.Context, c Claim) (ClaimResult, error)
	// Finish stores the outcome of the claimed request.
	Finish(ctx context.Context, c Claim, token string, e Outcome) error
}

// Limits of requests with an idempotency key.
const (
	// MaxStoredBodyBytes is the size of the largest response body that is stored
	// for a key.
	MaxStoredBodyBytes = 64 << 10
	// finishTimeout is the time limit of KeyStore.Finish.
	finishTimeout = 2 * time.Second
)

// serveKeyed serves a request with an idempotency key. It continues when the caller
// disconnects, so that a repeated request gets the stored response.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, c *call) {
	if h.cfg.KeyStore == nil {
		h.refuse(w, c, newFailure(result.KeyStoreUnavailable, "this entry has no idempotency key store"))
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	defer cancel()
	claim := c.keyClaim()
	claimed, err := h.cfg.KeyStore.Claim(ctx, claim)
	if err != nil {
		h.refuse(w, c, claimFailure(err))
		return
	}
	if claimed.Response != nil {
		claimed.Response.write(w)
		h.recordDone(c, result.OK)
		return
	}
	h.sendClaimed(ctx, w, c, claim, claimed.Token)
}

// claimFailure converts the error of a claim to a failure. Nothing was sent for
// this call; a code without notRun describes the first request with the key.
func claimFailure(err error) *failure {
	f := toFailure(err)
	switch f.code {
	case result.KeyBusy, result.KeyMismatch, result.KeyResponseTooLarge, result.OutcomeUnknown, result.KeyStoreUnavailable:
		return f
	}
	return &failure{code: result.KeyStoreUnavailable, detail: f.detail, notRun: true}
}

// sendClaimed sends the request whose key was claimed, and stores its outcome.
func (h *Handler) sendClaimed(ctx context.Context, w http.ResponseWriter, c *call, claim Claim, token string) {
	r, f := h.send(ctx, c)
	if f != nil {
		h.finishKey(ctx, claim, token, Outcome{NotRun: f.notRun})
		h.refuse(w, c, f)
		return
	}
	body, storable, err := readStorableBody(r.resp.Body, c.maxResponseBytes)
	r.finish(err)
	if err != nil {
		h.finishKey(ctx, claim, token, Outcome{})
		h.refuse(w, c, finalFailure(c, &failure{code: result.UpstreamTruncated, detail: err.Error()}))
		return
	}
	ans := &StoredResponse{Status: r.resp.StatusCode, Header: make(http.Header), Body: body}
	copyHeader(ans.Header, r.resp.Header, ownResponseHeaders)
	if r.fromOtherZone && r.resp.Header.Get(HeaderResult) != okResultHeader[0] {
		h.relayRefusal(ctx, w, c, claim, token, r.resp, body)
		return
	}
	stored := ans
	if !storable {
		stored = &StoredResponse{Status: ans.Status, TooLarge: true}
	}
	h.finishKey(ctx, claim, token, Outcome{Response: stored})
	ans.write(w)
	h.recordDone(c, result.OK)
}

// relayRefusal passes the refusal of another zone's entry to the caller.
func (h *Handler) relayRefusal(ctx context.Context, w http.ResponseWriter, c *call, claim Claim, token string, resp *http.Response, body []byte) {
	h.finishKey(ctx, claim, token, Outcome{NotRun: resp.Header.Get(HeaderNotRun) == "true"})
	writeResponseHeader(w, c, resp, true)
	_, _ = w.Write(body)
	h.recordDone(c, result.Code(atoi(resp.Header.Get(HeaderResult))))
}

// finishKey stores the outcome of the claimed request. If that fails, the claim
// stays without an outcome: repeated requests with the key are refused as busy, and
// with an unknown outcome once the claim has timed out.
func (h *Handler) finishKey(ctx context.Context, claim Claim, token string, outcome Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := h.cfg.KeyStore.Finish(ctx, claim, token, outcome); err != nil {
		h.cfg.Recorder.RecordLostKeyOutcome()
	}
}

// readStorableBody reads a whole response body and reports whether it has at most
// MaxStoredBodyBytes, so that it can be stored. It fails if the body is larger than
// limit bytes.
func readStorableBody(r io.Reader, limit int64) ([]byte, bool, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, false, result.Wrap(result.UpstreamTruncated, err, "read response body")
	}
	if int64(len(b)) > limit {
		return nil, false, result.Errorf(result.UpstreamTruncated, "response body is larger than %d bytes", limit)
	}
	return b, len(b) <= MaxStoredBodyBytes, nil
}

// write sends the stored response to a caller.
func (r *StoredResponse) write(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	h[HeaderResult] = okResultHeader
	if bodyAllowed(r.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(r.Body))}
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// keyClaim returns the claim on the idempotency key of the call.
func (c *call) keyClaim() Claim {
	d := xxhash.New()
	for _, s := range []string{c.method, c.path, c.query} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return Claim{Service: c.service, Organisation: c.organisation, Key: c.key, Fingerprint: d.Sum64(), Timeout: c.remaining()}
}
