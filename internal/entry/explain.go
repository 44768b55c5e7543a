package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"skylarkport/internal/forward"
	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// explainRequest handles a scheduler's call for the kept refusals of a request.
func (e *Entry) explainRequest(_ context.Context, _ member.Peer, params json.RawMessage) (any, error) {
	var req api.ExplainRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, result.Wrap(result.RequestBad, err, api.MethodExplainRequest)
	}
	reply := api.RequestEvents{Events: []api.Event{}}
	for _, r := range e.handler.Refusals(req.RequestID) {
		reply.Events = append(reply.Events, e.refusalEvent(&r))
	}
	return reply, nil
}

// refusalEvent describes a refusal as an event of the explain command.
func (e *Entry) refusalEvent(r *forward.Refusal) api.Event {
	outcome := "may have run"
	if r.NotRun {
		outcome = "not run"
	}
	return api.Event{
		Age: job.Duration(time.Since(r.At)), Step: "refused", Stage: e.cfg.Instance,
		Detail: fmt.Sprintf("%d %s, %s, %d attempts, service %s, organisation %s: %s", r.Code, r.Code, outcome, r.Attempts, r.Service, r.Organisation, r.Detail),
	}
}
