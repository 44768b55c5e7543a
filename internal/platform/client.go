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

// Headers of every call that identify the caller.
const (
	HeaderCallerZone     = "Skylark-From-Zone"
	HeaderCallerInstance = "Skylark-From-Instance"
)

const (
	// MaxBodyBytes limits the body of a request and of a response.
	MaxBodyBytes = 32 << 20

	defaultTimeout   = 2 * time.Second
	idleTimeout      = 90 * time.Second
	idleConnsPerHost = 16
)

// Caller identifies the calling instance.
type Caller struct {
	Zone     string
	Instance string
}

// ErrorResponse is the body of every error response of the platform.
type ErrorResponse struct {
	Code    result.Code  `json:"code"`
	Name    string       `json:"name"`
	Detail  string       `json:"detail,omitempty"`
	Unknown bool         `json:"unknown,omitempty"` // the call may have taken effect
	Row     contract.Key `json:"row,omitzero"`      // row of a commit whose condition failed
}

// Client makes the calls of one instance. It is safe for concurrent use.
type Client struct {
	cfg          settings.Platform
	from         Caller
	http         *http.Client
	timeout      time.Duration
	bytes        meter.Bytes
	instanceList listCache
}

// New returns a client for the services at the URLs of cfg.
func New(cfg settings.Platform, from Caller) *Client {
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

// Bytes returns the counters of bytes sent and received by all calls.
func (c *Client) Bytes() *meter.Bytes { return &c.bytes }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// failureCodes holds the result codes of a call without a usable response: refused if
// there was no connection, unknown if the request may have been sent.
type failureCodes struct {
	refused result.Code
	unknown result.Code
}

var (
	platformFailure = failureCodes{refused: result.PlatformRefused, unknown: result.PlatformUnknown}
	workerFailure   = failureCodes{refused: result.WorkerUnavailable, unknown: result.WorkerUnavailable}
)

// callJSON sends in as JSON and decodes the response into out. A nil in is sent as no
// body; with a nil out, the body of the response is ignored.
func (c *Client) callJSON(ctx context.Context, codes failureCodes, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		body, err = json.Marshal(in)
		if err != nil {
			return refused(result.PlatformBadCall, err.Error())
		}
	}
	response, err := c.call(ctx, codes, method, url, "application/json", body)
	if err != nil || out == nil {
		return err
	}
	return decodeResponse(codes, response, out)
}

func decodeResponse(codes failureCodes, body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return unknown(codes.unknown, "response: "+err.Error())
	}
	return nil
}

// call sends one request and returns the body of the response.
func (c *Client) call(ctx context.Context, codes failureCodes, method, url, contentType string, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, refused(result.PlatformBadCall, fmt.Sprintf("request body of %d bytes exceeds the limit of %d", len(body), MaxBodyBytes))
	}
	header := http.Header{"Content-Type": {contentType}}
	response, _, err := c.send(ctx, codes, method, url, header, body)
	return response, err
}

// getIfChanged gets url unless its entity tag is still tag. It returns the new tag, and a
// nil body if nothing changed. An empty tag always gets the body.
func (c *Client) getIfChanged(ctx context.Context, codes failureCodes, url, tag string) ([]byte, string, error) {
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	return c.send(ctx, codes, http.MethodGet, url, header, nil)
}

// send sends one request and returns the body and the entity tag of the response.
func (c *Client) send(ctx context.Context, codes failureCodes, method, url string, header http.Header, body []byte) ([]byte, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, "", refused(result.PlatformBadCall, err.Error())
	}
	req.Header = header
	req.Header.Set(HeaderCallerZone, c.from.Zone)
	req.Header.Set(HeaderCallerInstance, c.from.Instance)
	resp, err := c.http.Do(req)
	if err != nil {
		if connected.Load() {
			return nil, "", unknown(codes.unknown, err.Error())
		}
		return nil, "", refused(codes.refused, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := readResponse(codes, resp)
	return content, resp.Header.Get("ETag"), err
}

func readResponse(codes failureCodes, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, unknown(codes.unknown, "response: "+err.Error())
	}
	if len(body) > MaxBodyBytes {
		return nil, unknown(codes.unknown, "response exceeds the size limit")
	}
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if resp.StatusCode/100 == 2 {
		return body, nil
	}
	return nil, errorFromResponse(codes, resp.StatusCode, body)
}

// errorFromResponse converts an error response to an error. A response whose body is not
// an ErrorResponse comes from an intermediary such as a proxy, so only a client error (4xx)
// proves that the call had no effect.
func errorFromResponse(codes failureCodes, status int, body []byte) error {
	var failure ErrorResponse
	if json.Unmarshal(body, &failure) == nil && failure.Code != 0 {
		e := &contract.CallError{Outcome: contract.Refused, Code: failure.Code, Detail: failure.Detail, Row: failure.Row}
		if failure.Unknown {
			e.Outcome = contract.Unknown
		}
		return e
	}
	detail := fmt.Sprintf("status %d: %s", status, strings.TrimSpace(string(body[:min(len(body), 200)])))
	switch {
	case status == http.StatusTooManyRequests:
		return refused(result.PlatformLimited, detail)
	case status == http.StatusNotFound:
		return refused(result.PlatformNotFound, detail)
	case status/100 == 4:
		return refused(result.PlatformBadCall, detail)
	default:
		return unknown(codes.unknown, detail)
	}
}

func refused(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Refused, Code: code, Detail: detail}
}

func unknown(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: detail}
}
