package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// target is the destination of an attempt: an upstream, or an entry of another
// zone.
type target struct {
	baseURL   *url.URL
	prefix    string // path between baseURL and the path of the call
	transport http.RoundTripper
	fromZone  string // zone of this entry if the target is an entry of another zone, else empty
}

// attempt sends a call to a target once. It follows which connection the
// transport chooses, so that it can tell whether any byte of the request may have
// been sent.
type attempt struct {
	trace        httptrace.ClientTrace
	conn         *conn
	writesBefore int64 // value of conn.writes when the attempt got conn
	sentEarlier  bool  // bytes may have been sent on an earlier connection of this attempt

	deadline     *time.Time
	connRequests int                // number of connections that the transport requested
	cancel       context.CancelFunc // ends the attempt
}

// getConn is the httptrace.GetConn hook. It ends the attempt when the transport
// asks for a second connection, because net/http would then resend the request by
// itself, outside the retry budget.
func (a *attempt) getConn(string) {
	a.connRequests++
	if a.connRequests > 1 {
		a.cancel()
	}
}

// gotConn is the httptrace.GotConn hook. It records the connection that the
// transport chose and sets the deadline for writes on it.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	a.sentEarlier = a.sentEarlier || a.mayHaveSent()
	c, _ := i.Conn.(*conn)
	a.conn = c
	if c != nil {
		a.writesBefore = c.writes.Load()
		c.writeDeadline.Store(a.deadline)
	}
}

// mayHaveSent blocks further writes on the connection and reports whether any byte
// of the request may have been sent.
func (a *attempt) mayHaveSent() bool {
	return a.sentEarlier || a.conn != nil && a.conn.blockWrites() != a.writesBefore
}

// bodyReader hides the concrete type of a request body from net/http, so that it
// never resends a request with a body by itself.
type bodyReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

// do sends the call to t and returns the response with its body unread. The
// caller must call a.cancel after reading the body.
func (a *attempt) do(ctx context.Context, c *call, t *target) (*http.Response, *failure) {
	a.trace.GetConn, a.trace.GotConn = a.getConn, a.gotConn
	// A copy, because a pointer into the call would let an idle connection keep the
	// whole call in memory.
	deadline := c.deadline
	a.deadline = &deadline
	var attemptCtx context.Context
	attemptCtx, a.cancel = context.WithCancel(ctx)
	req := c.upstreamRequest(httptrace.WithClientTrace(attemptCtx, &a.trace), t)
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		a.cancel()
		return nil, a.classifyError(ctx, err)
	}
	if f := a.validateResponse(c, t, resp); f != nil {
		a.discard(resp)
		return nil, f
	}
	return resp, nil
}

// classifyError returns the failure for the error err of the transport. The
// request is reported as not run only if no byte of it can have been sent.
func (a *attempt) classifyError(ctx context.Context, err error) *failure {
	sent := a.mayHaveSent()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &failure{code: result.CallerGone, detail: "the caller closed the connection", notRun: !sent}
	case ctx.Err() != nil && !sent:
		return newFailure(result.TooLate, "the deadline passed before the request was sent")
	case ctx.Err() != nil:
		return &failure{code: result.TimedOut, detail: "the upstream did not answer before the deadline"}
	case !sent:
		return newFailure(result.NoUpstream, "request not sent: "+err.Error())
	}
	return &failure{code: result.UpstreamFailed, detail: "the connection to the upstream failed before a response"}
}

// validateResponse returns a failure if the response belongs to another request,
// refuses the request, is too large, or has a body whose truncation could not be
// detected.
func (a *attempt) validateResponse(c *call, t *target, resp *http.Response) *failure {
	if resp.Header.Get(HeaderRequestID) != c.id {
		return &failure{code: result.UpstreamTruncated, detail: "the response belongs to another request"}
	}
	if t.fromZone == "" && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(contract.HeaderNotRun) == "true" {
		return newFailure(result.UpstreamRefused, "the upstream refused the request")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols || !hasDelimitedBody(c, resp) {
		return &failure{code: result.UpstreamTruncated, detail: "the end of the response body cannot be determined"}
	}
	if resp.ContentLength > c.maxResponseBytes {
		return &failure{code: result.UpstreamTruncated, detail: "the response body is too large"}
	}
	return nil
}

// discard closes the connection of a response that is not used.
func (a *attempt) discard(resp *http.Response) {
	if a.conn != nil {
		_ = a.conn.Close()
	}
	_ = resp.Body.Close()
	a.cancel()
}

// hasDelimitedBody reports whether a complete response body can be distinguished
// from a truncated one: it has a length, is chunked, or is absent.
func hasDelimitedBody(c *call, resp *http.Response) bool {
	if resp.ContentLength >= 0 || c.method == http.MethodHead {
		return true
	}
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return slices.Contains(resp.TransferEncoding, "chunked")
}

// upstreamRequest builds the HTTP request that is sent to t. An entry of another
// zone gets no idempotency key: this entry has claimed the key already, and the
// other one would refuse it as busy.
func (c *call) upstreamRequest(ctx context.Context, t *target) *http.Request {
	h := make(http.Header, len(c.header)+4)
	copyHeader(h, c.header, ownRequestHeaders)
	h[HeaderRequestID] = []string{c.id}
	h[HeaderTimeout] = []string{strconv.FormatInt(max(c.remaining().Milliseconds(), 1), 10)}
	if c.key != "" {
		h[upstreamKeyHeader] = []string{c.key}
	}
	if t.fromZone != "" {
		h[HeaderZoneHop] = []string{t.fromZone}
		delete(h, upstreamKeyHeader)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	raw := t.baseURL.EscapedPath() + t.prefix + c.path
	decoded, _ := url.PathUnescape(raw)
	r := &http.Request{
		Method:        c.method,
		URL:           &url.URL{Scheme: t.baseURL.Scheme, Host: t.baseURL.Host, Path: decoded, RawPath: raw, RawQuery: c.query},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Host:          t.baseURL.Host,
		ContentLength: int64(len(c.body)),
		Body:          c.bodyReader(),
	}
	return r.WithContext(ctx)
}

// bodyReader returns the request body for one attempt.
func (c *call) bodyReader() io.ReadCloser {
	if len(c.body) > 0 {
		return bodyReader{bytes.NewReader(c.body)}
	}
	return http.NoBody
}
