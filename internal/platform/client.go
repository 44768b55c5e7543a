// Package platform implements the contracts of the platform's tables, objects,
// instance list and workers over HTTP and JSON. docs/PLATFORM.md describes the
// calls.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/meter"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// Headers that name the caller of every call.
const (
	HeaderFromZone     = "Skylark-From-Zone"
	HeaderFromInstance = "Skylark-From-Instance"
)

const (
	// MaxBodyBytes limits the body of a call and of its answer.
	MaxBodyBytes = 32 << 20

	defaultTimeout   = 2 * time.Second
	idleTimeout      = 90 * time.Second
	idleConnsPerHost = 16
)

// From names the calling instance.
type From struct {
	Zone     string
	Instance string
}

// Failure is the body of every answer that is not a success.
type Failure struct {
	Code    result.Code  `json:"code"`
	Name    string       `json:"name"`
	Detail  string       `json:"detail,omitempty"`
	Unknown bool         `json:"unknown,omitempty"` // the call may have taken effect
	Row     contract.Key `json:"row,omitzero"`      // whose condition failed
}

// Client makes calls for one instance. It is safe for concurrent use.
type Client struct {
	cfg     settings.Platform
	from    From
	http    *http.Client
	timeout time.Duration
	bytes   meter.Bytes
	listed  listCache
}

// New returns a client for the services that cfg names.
func New(cfg settings.Platform, from From) *Client {
	timeout := cfg.Timeout.D()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c := &Client{cfg: cfg, from: from, timeout: timeout}
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c.bytes.Conn(conn), nil
		},
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
	}
	if cfg.HTTP2 {
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	c.http = &http.Client{Transport: transport}
	return c
}

// Tables returns the table service.
func (c *Client) Tables() contract.Tables { return tables{c} }

// Objects returns the object store.
func (c *Client) Objects() contract.Objects { return objects{c} }

// Instances returns the instance list.
func (c *Client) Instances() contract.Instances { return instances{c} }

// Workers returns the control interface of the workers.
func (c *Client) Workers() contract.Workers { return workers{c} }

// Bytes returns what passed the sockets of all calls.
func (c *Client) Bytes() *meter.Bytes { return &c.bytes }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// away holds the codes of a call whose answer never came.
type away struct {
	refused result.Code
	unknown result.Code
}

var (
	platformAway = away{refused: result.PlatformRefused, unknown: result.PlatformUnknown}
	workerAway   = away{refused: result.WorkerAway, unknown: result.WorkerAway}
)

// callJSON sends in as JSON and decodes the answer into out.
func (c *Client) callJSON(ctx context.Context, a away, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		body, err = json.Marshal(in)
		if err != nil {
			return refused(result.PlatformBad, err.Error())
		}
	}
	answer, err := c.call(ctx, a, method, url, "application/json", body)
	if err != nil || out == nil {
		return err
	}
	return decodeAnswer(a, answer, out)
}

func decodeAnswer(a away, answer []byte, out any) error {
	if err := json.Unmarshal(answer, out); err != nil {
		return unknown(a.unknown, "answer: "+err.Error())
	}
	return nil
}

// call sends one request and returns the whole body of its answer.
func (c *Client) call(ctx context.Context, a away, method, url, kind string, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, refused(result.PlatformBad, fmt.Sprintf("body of %d bytes is over %d", len(body), MaxBodyBytes))
	}
	header := http.Header{"Content-Type": {kind}}
	answer, _, err := c.send(ctx, a, method, url, header, body)
	return answer, err
}

// callTagged asks for what url holds unless it still has the entity tag that
// the caller knows. It returns the new tag, and a nil body where nothing
// changed.
func (c *Client) callTagged(ctx context.Context, a away, url, tag string) ([]byte, string, error) {
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	return c.send(ctx, a, http.MethodGet, url, header, nil)
}

// send sends one request and returns the body of its answer and its entity tag.
func (c *Client) send(ctx context.Context, a away, method, url string, header http.Header, body []byte) ([]byte, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, "", refused(result.PlatformBad, err.Error())
	}
	req.Header = header
	req.Header.Set(HeaderFromZone, c.from.Zone)
	req.Header.Set(HeaderFromInstance, c.from.Instance)
	resp, err := c.http.Do(req)
	if err != nil {
		if connected.Load() {
			return nil, "", unknown(a.unknown, err.Error())
		}
		return nil, "", refused(a.refused, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := readAnswer(a, resp)
	return answer, resp.Header.Get("ETag"), err
}

func readAnswer(a away, resp *http.Response) ([]byte, error) {
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, unknown(a.unknown, "answer: "+err.Error())
	}
	if len(answer) > MaxBodyBytes {
		return nil, unknown(a.unknown, "answer is too large")
	}
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.StatusCode/100 == 2 {
		return answer, nil
	}
	return nil, failure(a, resp.StatusCode, answer)
}

// failure maps an answer that is not a success. An answer without a readable
// Failure comes from something in between, so only a client error (4xx) is
// taken as a refusal.
func failure(a away, status int, answer []byte) error {
	var f Failure
	if json.Unmarshal(answer, &f) == nil && f.Code != 0 {
		e := &contract.CallError{Outcome: contract.Refused, Code: f.Code, Detail: f.Detail, Row: f.Row}
		if f.Unknown {
			e.Outcome = contract.Unknown
		}
		return e
	}
	detail := fmt.Sprintf("status %d: %s", status, strings.TrimSpace(string(answer[:min(len(answer), 200)])))
	switch {
	case status == http.StatusTooManyRequests:
		return refused(result.PlatformLimited, detail)
	case status == http.StatusNotFound:
		return refused(result.PlatformNotFound, detail)
	case status/100 == 4:
		return refused(result.PlatformBad, detail)
	default:
		return unknown(a.unknown, detail)
	}
}

func refused(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Refused, Code: code, Detail: detail}
}

func unknown(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: detail}
}
