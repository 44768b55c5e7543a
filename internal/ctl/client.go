package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// maxResponseBytes bounds a response of the operator API. A longer one is truncated
// and fails to decode.
const maxResponseBytes = 64 << 20

// Client calls the operator API. It tries the servers in order until one answers
// with a result that another server could not improve.
type Client struct {
	Servers []string // base URLs
	HTTP    *http.Client
}

// NewClient returns a client for the comma-separated base URLs. timeout bounds a
// call to one server.
func NewClient(servers string, timeout time.Duration) *Client {
	c := &Client{HTTP: &http.Client{Timeout: timeout}}
	for _, s := range strings.Split(servers, ",") {
		if s = strings.TrimSpace(s); s != "" {
			c.Servers = append(c.Servers, strings.TrimRight(s, "/"))
		}
	}
	return c
}

// Get calls path with the query and decodes the response into reply.
func (c *Client) Get(ctx context.Context, path string, query url.Values, reply any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, http.MethodGet, path, nil, reply)
}

// Post sends body as JSON to path and decodes the response into reply. Every
// call of the API is idempotent, so if a server does not answer, the call is
// repeated on the next.
func (c *Client) Post(ctx context.Context, path string, body, reply any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return result.Wrap(result.RequestBad, err, "encode request body")
	}
	return c.PostBody(ctx, path, b, reply)
}

// PostBody is Post with a body that is already encoded as JSON.
func (c *Client) PostBody(ctx context.Context, path string, body []byte, reply any) error {
	return c.call(ctx, http.MethodPost, path, body, reply)
}

// call sends the request to the servers in order until one returns a result that
// another server could not improve.
func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	err := result.Errorf(result.RequestBad, "no server given: use -server or $SKYLARK_SERVERS")
	for _, s := range c.Servers {
		err = c.callServer(ctx, method, s+path, body, reply)
		if !tryNext(err) {
			return err
		}
	}
	return err
}

// tryNext reports whether another server may succeed where this one failed with
// err: it did not answer, was not ready or shutting down, or could not store the
// work for certain.
func tryNext(err error) bool {
	switch result.Of(err) {
	case result.PeerUnavailable, result.ShuttingDown, result.NotReady, result.PlatformRefused, result.PlatformUnknown, result.JobNotStored:
		return true
	}
	return false
}

func (c *Client) callServer(ctx context.Context, method, target string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.RequestBad, err, "server URL")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result.Wrap(result.PeerUnavailable, err, "call server")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result.Wrap(result.PeerUnavailable, err, "read response")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeProblem(resp, b)
	}
	if reply == nil {
		return nil
	}
	return result.Wrap(result.Internal, json.Unmarshal(b, reply), "decode response")
}

func decodeProblem(resp *http.Response, body []byte) error {
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == 0 {
		return result.Errorf(result.Internal, "HTTP status %d without a problem document", resp.StatusCode)
	}
	return result.Errorf(result.Code(p.Code), "%s", p.Detail)
}
