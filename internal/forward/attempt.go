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

// target is where one attempt goes.
type target struct {
	base      *url.URL
	prefix    string // of the path below base
	transport http.RoundTripper
	hop       string // zone of this entry, towards an entry of another zone
}

// attempt is one sending of a call.
type attempt struct {
	trace  httptrace.ClientTrace
	conn   *conn
	before int64 // writes on conn when the attempt got it
	sent   bool  // on a connection that it had before

	deadline *time.Time
	gets     int                // connections asked for
	cancel   context.CancelFunc // of the attempt
}

// getConn ends the attempt when the transport asks for a second connection: it
// would send the request again by itself, outside the budget.
func (a *attempt) getConn(string) {
	a.gets++
	if a.gets > 1 {
		a.cancel()
	}
}

// gotConn notes the connection that the transport chose.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	a.sent = a.sent || a.mayHaveSent()
	c, _ := i.Conn.(*conn)
	a.conn = c
	if c != nil {
		a.before = c.writes.Load()
		c.expires.Store(a.deadline)
	}
}

// mayHaveSent stops the connection and reports whether a byte may have gone.
func (a *attempt) mayHaveSent() bool {
	return a.sent || a.conn != nil && a.conn.seal() != a.before
}

// reader hides the type of a body from net/http, so that it never sends a
// request with a body again by itself.
type reader struct{ *bytes.Reader }

// Close implements io.Closer.
func (reader) Close() error { return nil }

// do sends the call to t and returns the answer's head. It has read no body; the
// caller calls a.cancel after that.
func (a *attempt) do(ctx context.Context, c *call, t *target) (*http.Response, *failure) {
	a.trace.GetConn, a.trace.GotConn = a.getConn, a.gotConn
	deadline := c.deadline // apart from the call, which the connection would keep
	a.deadline = &deadline
	var own context.Context
	own, a.cancel = context.WithCancel(ctx)
	req := c.request(httptrace.WithClientTrace(own, &a.trace), t)
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		a.cancel()
		return nil, a.failed(ctx, err)
	}
	if f := a.check(c, t, resp); f != nil {
		a.drop(resp)
		return nil, f
	}
	return resp, nil
}

// failed says what is known after the transport returned err.
func (a *attempt) failed(ctx context.Context, err error) *failure {
	sent := a.mayHaveSent()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &failure{code: result.CallerGone, detail: "the caller left", notRun: !sent}
	case ctx.Err() != nil && !sent:
		return unsent(result.TooLate, "the deadline passed before the request was sent")
	case ctx.Err() != nil:
		return &failure{code: result.TimedOut, detail: "the upstream did not answer before the deadline"}
	case !sent:
		return unsent(result.NoUpstream, "not sent: "+err.Error())
	}
	return &failure{code: result.UpstreamFailed, detail: "the upstream broke off before its answer"}
}

// check refuses an answer that is not this call's, or could not be told whole.
func (a *attempt) check(c *call, t *target, resp *http.Response) *failure {
	if resp.Header.Get(HeaderRequestID) != c.id {
		return &failure{code: result.UpstreamBroken, detail: "the answer belongs to another request"}
	}
	if t.hop == "" && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(contract.HeaderNotRun) == "true" {
		return unsent(result.UpstreamRefused, "the upstream refused the request")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols || !delimited(c, resp) {
		return &failure{code: result.UpstreamBroken, detail: "the answer's end cannot be told"}
	}
	if resp.ContentLength > c.maxAnswer {
		return &failure{code: result.UpstreamBroken, detail: "the answer is too large"}
	}
	return nil
}

// drop closes the connection of an answer that is not used.
func (a *attempt) drop(resp *http.Response) {
	if a.conn != nil {
		_ = a.conn.Close()
	}
	_ = resp.Body.Close()
	a.cancel()
}

// delimited reports whether the end of the answer can be told from a break.
func delimited(c *call, resp *http.Response) bool {
	if resp.ContentLength >= 0 || c.method == http.MethodHead {
		return true
	}
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	return slices.Contains(resp.TransferEncoding, "chunked")
}

// request builds the upstream's request.
func (c *call) request(ctx context.Context, t *target) *http.Request {
	h := make(http.Header, len(c.header)+4)
	copyHeader(h, c.header, ownRequest)
	h[HeaderRequestID] = []string{c.id}
	h[HeaderTimeout] = []string{strconv.FormatInt(max(c.left().Milliseconds(), 1), 10)}
	if c.key != "" {
		h[keyOnWire] = []string{c.key}
	}
	if t.hop != "" {
		h[HeaderHop] = []string{t.hop}
		delete(h, keyOnWire)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	raw := t.base.EscapedPath() + t.prefix + c.path
	plain, _ := url.PathUnescape(raw)
	r := &http.Request{
		Method:        c.method,
		URL:           &url.URL{Scheme: t.base.Scheme, Host: t.base.Host, Path: plain, RawPath: raw, RawQuery: c.query},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Host:          t.base.Host,
		ContentLength: int64(len(c.body)),
		Body:          c.reader(),
	}
	return r.WithContext(ctx)
}

// reader returns the body of one sending.
func (c *call) reader() io.ReadCloser {
	if len(c.body) > 0 {
		return reader{bytes.NewReader(c.body)}
	}
	return http.NoBody
}
