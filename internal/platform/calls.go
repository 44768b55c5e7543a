package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Paths of the calls, relative to the URLs in the settings or to a worker's address.
const (
	PathRead      = "/v1/tables/read"
	PathScan      = "/v1/tables/scan"
	PathCommit    = "/v1/tables/commit"
	PathObjects   = "/v1/objects"
	PathInstances = "/v1/instances"
	PathExchange  = "/v1/exchange"
)

// ReadRequest is the body of a read.
type ReadRequest struct {
	Key contract.Key `json:"key"`
}

// ScanRequest is the body of a scan.
type ScanRequest struct {
	Table string `json:"table"`
	From  string `json:"from"`
	To    string `json:"to,omitempty"`
	Limit int    `json:"limit"`
}

// ScanReply is the response to a scan.
type ScanReply struct {
	Rows []contract.Row `json:"rows"`
}

// CommitRequest is the body of a commit.
type CommitRequest struct {
	Writes []contract.Write `json:"writes"`
}

// CommitReply is the response to a commit.
type CommitReply struct {
	Versions []uint64 `json:"versions"`
}

// ListReply is the response with the list of instances.
type ListReply struct {
	Instances []contract.Instance `json:"instances"`
}

type tables struct{ c *Client }

// Read implements contract.Tables.
func (t tables) Read(ctx context.Context, key contract.Key) (contract.Row, error) {
	var row contract.Row
	err := t.post(ctx, PathRead, ReadRequest{Key: key}, &row)
	return row, err
}

// Scan implements contract.Tables.
func (t tables) Scan(ctx context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	var reply ScanReply
	err := t.post(ctx, PathScan, ScanRequest{Table: table, From: from, To: to, Limit: limit}, &reply)
	return reply.Rows, err
}

// Commit implements contract.Tables.
func (t tables) Commit(ctx context.Context, writes []contract.Write) ([]uint64, error) {
	var reply CommitReply
	if err := t.post(ctx, PathCommit, CommitRequest{Writes: writes}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Versions) != len(writes) {
		return nil, unknown(result.PlatformUnknown, fmt.Sprintf("%d versions for %d writes", len(reply.Versions), len(writes)))
	}
	return reply.Versions, nil
}

func (t tables) post(ctx context.Context, path string, in, out any) error {
	return t.c.callJSON(ctx, platformFailure, http.MethodPost, t.c.cfg.Tables+path, in, out)
}

type objects struct{ c *Client }

const octetStream = "application/octet-stream"

// Put implements contract.Objects.
func (o objects) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.c.call(ctx, platformFailure, http.MethodPut, o.url(name), octetStream, body)
	return err
}

// Get implements contract.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.c.call(ctx, platformFailure, http.MethodGet, o.url(name), octetStream, nil)
}

// Delete implements contract.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.c.call(ctx, platformFailure, http.MethodDelete, o.url(name), octetStream, nil)
	return err
}

func (o objects) url(name string) string {
	return o.c.cfg.Objects + PathObjects + "/" + url.PathEscape(name)
}

type instances struct{ c *Client }

// listCache holds the latest list of instances and its entity tag, so that the server
// sends the list only after a change.
type listCache struct {
	mu   sync.Mutex
	tag  string
	list []contract.Instance
}

// List implements contract.Instances.
func (i instances) List(ctx context.Context) ([]contract.Instance, error) {
	cache := &i.c.instanceList
	cache.mu.Lock()
	tag, list := cache.tag, cache.list
	cache.mu.Unlock()
	body, next, err := i.c.getIfChanged(ctx, platformFailure, i.c.cfg.Instances+PathInstances, tag)
	if err != nil {
		return nil, err
	}
	if body == nil {
		return slices.Clone(list), nil
	}
	var reply ListReply
	if err := decodeResponse(platformFailure, body, &reply); err != nil {
		return nil, err
	}
	cache.mu.Lock()
	cache.tag, cache.list = next, reply.Instances
	cache.mu.Unlock()
	return slices.Clone(reply.Instances), nil
}

type workers struct{ c *Client }

// Exchange implements contract.Workers.
func (w workers) Exchange(ctx context.Context, addr string, req contract.ExchangeRequest) (contract.ExchangeReply, error) {
	var reply contract.ExchangeReply
	err := w.c.callJSON(ctx, workerFailure, http.MethodPost, "http://"+addr+PathExchange, req, &reply)
	return reply, err
}
