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

// maxAnswerBytes bounds an answer of the operator API.
const maxAnswerBytes = 64 << 20

// Client calls the operator API of the first server that answers.
type Client struct {
	Servers []string // base URLs
	HTTP    *http.Client
}

// NewClient returns a client for the comma-separated base URLs.
func NewClient(servers string, timeout time.Duration) *Client {
	c := &Client{HTTP: &http.Client{Timeout: timeout}}
	for _, s := range strings.Split(servers, ",") {
		if s = strings.TrimSpace(s); s != "" {
			c.Servers = append(c.Servers, strings.TrimRight(s, "/"))
		}
	}
	return c
}

// Get calls path with the query and decodes the answer into reply.
func (c *Client) Get(ctx context.Context, path string, query url.Values, reply any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.call(ctx, http.MethodGet, path, nil, reply)
}

// Post sends body as JSON to path and decodes the answer into reply. Every
// call of the API may be repeated, so a server that does not answer is followed
// by the next.
func (c *Client) Post(ctx context.Context, path string, body, reply any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return result.Wrap(result.RequestBad, err, "encode")
	}
	return c.PostBody(ctx, path, b, reply)
}

// PostBody is Post with a body that is JSON already.
func (c *Client) PostBody(ctx context.Context, path string, body []byte, reply any) error {
	return c.call(ctx, http.MethodPost, path, body, reply)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	err := result.Errorf(result.RequestBad, "no server named; use -server")
	for _, s := range c.Servers {
		err = c.once(ctx, method, s+path, body, reply)
		if !tryNext(err) {
			return err
		}
	}
	return err
}

// tryNext reports whether another server may answer where this one did not.
func tryNext(err error) bool {
	switch result.Of(err) {
	case result.PeerAway, result.ShuttingDown, result.NotReady, result.PlatformRefused, result.PlatformUnknown, result.JobNotStored:
		return true
	}
	return false
}

func (c *Client) once(ctx context.Context, method, target string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return result.Wrap(result.RequestBad, err, "server")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return result.Wrap(result.PeerAway, err, "call")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result.Wrap(result.PeerAway, err, "answer")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return problem(resp, b)
	}
	if reply == nil {
		return nil
	}
	return result.Wrap(result.Internal, json.Unmarshal(b, reply), "answer")
}

func problem(resp *http.Response, body []byte) error {
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == 0 {
		return result.Errorf(result.Internal, "status %d", resp.StatusCode)
	}
	return result.Errorf(result.Code(p.Code), "%s", p.Detail)
}
