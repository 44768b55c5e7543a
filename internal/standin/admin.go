package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
)

// Admin is a client of the admin endpoint of a running stand-in.
type Admin struct{ url string }

// NewAdmin returns a client of the stand-in at url.
func NewAdmin(url string) Admin { return Admin{url: strings.TrimSuffix(url, "/")} }

// History returns the record of everything that has happened so far.
func (a Admin) History(ctx context.Context) (history.Record, error) {
	var r history.Record
	err := a.do(ctx, http.MethodGet, PathHistory, nil, &r)
	return r, err
}

// Totals returns the counters of the record.
func (a Admin) Totals(ctx context.Context) (history.Totals, error) {
	var t history.Totals
	err := a.do(ctx, http.MethodGet, PathTotals, nil, &t)
	return t, err
}

// Inject starts a fault.
func (a Admin) Inject(ctx context.Context, f Fault) error {
	return a.do(ctx, http.MethodPost, PathFaults, f, nil)
}

// Clear ends all faults and pauses. A killed worker stays dead.
func (a Admin) Clear(ctx context.Context) error {
	return a.do(ctx, http.MethodDelete, PathFaults, nil, nil)
}

// SetInstanceState sets the state of an instance in the platform's list.
func (a Admin) SetInstanceState(ctx context.Context, id string, state contract.State) error {
	return a.do(ctx, http.MethodPost, PathInstanceState, InstanceStateRequest{ID: id, State: state}, nil)
}

func (a Admin) do(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, a.url+path, &body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
