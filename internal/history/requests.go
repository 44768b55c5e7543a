package history

import (
	"fmt"
	"net/http"
	"strings"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// isSafeMethod reports whether a method is safe in the sense of HTTP, so that it
// may run more than once.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// checkExecutions checks the executions of requests at the upstreams. A request must not
// be sent to an upstream that reported more than DrainNoticeLimit ago that it is draining,
// nor be interrupted by the stop of its run. It must not run twice unless its method is safe
// or its caller marked it idempotent; requests with the same idempotency key count as one.
func (c *checker) checkExecutions() {
	idempotent := map[string]bool{}
	for _, call := range c.in.Calls {
		idempotent[call.RequestID] = call.Idempotent
	}
	keys := c.keyLookup()
	ran := map[string]int{}
	ends := c.runEnds()
	for _, e := range c.in.Record.Executions {
		if e.DrainingFor > DrainNoticeLimit {
			c.add(NoWorkWhileDraining, "%s sent to %s %v after it reported that it is draining", e.RequestID, e.Run, e.DrainingFor)
		}
		if e.Outcome == NotRun {
			continue
		}
		if e.Outcome == Interrupted && ends[runPlace{run: e.Run}] == RunStopped {
			c.add(GracefulStop, "%s interrupted by the stop of %s", e.RequestID, e.Run)
		}
		if isSafeMethod(e.Method) || idempotent[e.RequestID] {
			continue
		}
		id := "request " + e.Service + "/" + e.RequestID
		if key := keys(e); key != "" {
			id = "key " + e.Service + "/" + key
		}
		if ran[id]++; ran[id] == 2 {
			c.add(AtMostOnce, "%s ran twice, last on %s", id, e.Run)
		}
	}
}

// keyLookup returns a function that returns the idempotency key of an
// execution: the one that its upstream received, or else the one that its
// caller sent with the same request id.
func (c *checker) keyLookup() func(Execution) string {
	sentKeys := map[string]string{}
	for _, call := range c.in.Calls {
		sentKeys[call.RequestID] = call.Key
	}
	return func(e Execution) string {
		if e.Key != "" {
			return e.Key
		}
		return sentKeys[e.RequestID]
	}
}

// runEnds returns how every run ended.
func (c *checker) runEnds() map[runPlace]RunEventKind {
	out := map[runPlace]RunEventKind{}
	for _, e := range c.in.Record.Runs {
		if e.Kind != RunStarted && e.Kind != RunRefused {
			out[runPlace{run: e.Run}] = e.Kind
		}
	}
	return out
}

// checkCalls checks the callers' view against the upstreams': a request that was
// refused as not run did not run, and every successful response is complete,
// belongs to its request and comes from an upstream that completed it.
func (c *checker) checkCalls() {
	ran := map[string]job.RunID{}
	completed := map[string]bool{}
	keys := c.keyLookup()
	for _, e := range c.in.Record.Executions {
		if e.Outcome == NotRun {
			continue
		}
		ran[e.RequestID] = e.Run
		if e.Outcome == Completed {
			completed[e.RequestID] = true
			completed[keyIndex(keys(e))] = true
		}
	}
	for _, call := range c.in.Calls {
		run, wasRun := ran[call.RequestID]
		if call.NotRun && wasRun {
			c.add(NotRunAccurate, "%s was refused as not run (%d) but ran on %s: %s", call.RequestID, call.Code, run, c.describeCall(call))
		}
		if call.Code != result.OK || call.Broken {
			continue
		}
		if !call.Matches {
			c.add(CompleteResponse, "%s got a response that is incomplete or belongs to another request: %s", call.RequestID, call.ResponseStart)
		}
		if !completed[call.RequestID] && (call.Key == "" || !completed[keyIndex(call.Key)]) {
			c.add(CompleteResponse, "%s got a response but no upstream completed it: %s", call.RequestID, c.describeCall(call))
		}
	}
}

// describeCall describes all calls and executions with the request id or the
// idempotency key of a call.
func (c *checker) describeCall(of Call) string {
	var out []string
	keys := c.keyLookup()
	for _, call := range c.in.Calls {
		if call.RequestID == of.RequestID || (of.Key != "" && call.Key == of.Key) {
			out = append(out, fmt.Sprintf("%s through %s at %v: result %d, broken %v", call.RequestID, call.Entry, call.Sent, call.Code, call.Broken))
		}
	}
	for _, e := range c.in.Record.Executions {
		if e.RequestID == of.RequestID || (of.Key != "" && keys(e) == of.Key) {
			out = append(out, fmt.Sprintf("%s on %s from %v to %v: %s", e.RequestID, e.Run, e.Start, e.End, e.Outcome))
		}
	}
	return strings.Join(out, "; ")
}

// keyIndex returns the map key of an idempotency key, distinct from all request
// ids.
func keyIndex(key string) string { return "key/" + key }

// checkStops checks that graceful stops of entry instances exit without an
// error and break no request in flight. A request is in flight if it was sent
// before the signal, or if it was sent before the exit and reached an upstream.
func (c *checker) checkStops() {
	ran := map[string]bool{}
	for _, e := range c.in.Record.Executions {
		ran[e.RequestID] = ran[e.RequestID] || e.Outcome != NotRun
	}
	for _, s := range c.in.Stops {
		if s.ExitCode != 0 {
			c.add(GracefulStop, "%s exited with status %d", s.Instance, s.ExitCode)
		}
		for _, call := range c.in.Calls {
			if call.Entry != s.Instance || !call.Broken || call.Ended < s.At {
				continue
			}
			before := call.Sent < s.At
			during := call.Sent < s.Exited && ran[call.RequestID]
			if before || during {
				c.add(GracefulStop, "%s was in flight when %s was stopped and got no complete response: %s", call.RequestID, s.Instance, call.ResponseStart)
			}
		}
	}
}
