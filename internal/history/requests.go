package history

import (
	"fmt"
	"net/http"
	"strings"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// safe reports whether a method only reads.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// executions checks what the upstreams saw.
func (c *checker) executions() {
	idempotent := map[string]bool{}
	for _, call := range c.in.Calls {
		idempotent[call.RequestID] = call.Idempotent
	}
	keys := c.keys()
	ran := map[string]int{}
	ends := c.ends()
	for _, e := range c.in.Record.Executions {
		if e.LeavingFor > LeavingLimit {
			c.add(LeavingSpared, "%s sent to %s %v after it said so", e.RequestID, e.Run, e.LeavingFor)
		}
		if e.How == NotRun {
			continue
		}
		if e.How == CutOff && ends[place{run: e.Run}] == RunStopped {
			c.add(GracefulStop, "%s cut off by the stop of %s", e.RequestID, e.Run)
		}
		if safe(e.Method) || idempotent[e.RequestID] {
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

// keys returns a function that names the key of an execution: the one that its
// upstream saw, or the one that its caller gave with the request's id.
func (c *checker) keys() func(Execution) string {
	given := map[string]string{}
	for _, call := range c.in.Calls {
		given[call.RequestID] = call.Key
	}
	return func(e Execution) string {
		if e.Key != "" {
			return e.Key
		}
		return given[e.RequestID]
	}
}

// ends returns how every run ended.
func (c *checker) ends() map[place]RunEventKind {
	out := map[place]RunEventKind{}
	for _, e := range c.in.Record.Runs {
		if e.Kind != RunStarted && e.Kind != RunRefused {
			out[place{run: e.Run}] = e.Kind
		}
	}
	return out
}

// calls checks what the callers saw against what the upstreams saw.
func (c *checker) calls() {
	ran := map[string]job.RunID{}
	completed := map[string]bool{}
	keys := c.keys()
	for _, e := range c.in.Record.Executions {
		if e.How == NotRun {
			continue
		}
		ran[e.RequestID] = e.Run
		if e.How == Completed {
			completed[e.RequestID] = true
			completed[keyOf(keys(e))] = true
		}
	}
	for _, call := range c.in.Calls {
		run, did := ran[call.RequestID]
		if call.NotRun && did {
			c.add(NotRunHonest, "%s was refused as not run (%d) and ran on %s: %s", call.RequestID, call.Code, run, c.story(call))
		}
		if call.Code != result.OK || call.Broken {
			continue
		}
		if !call.Matches {
			c.add(WholeAnswer, "%s got an answer that is not its own or not whole: %s", call.RequestID, call.Answer)
		}
		if !completed[call.RequestID] && (call.Key == "" || !completed[keyOf(call.Key)]) {
			c.add(WholeAnswer, "%s was answered and no upstream completed it: %s", call.RequestID, c.story(call))
		}
	}
}

// story lists what callers and upstreams saw of a call and of its key.
func (c *checker) story(of Call) string {
	var out []string
	keys := c.keys()
	for _, call := range c.in.Calls {
		if call.RequestID == of.RequestID || (of.Key != "" && call.Key == of.Key) {
			out = append(out, fmt.Sprintf("%s through %s at %v: %d, broken %v", call.RequestID, call.Entry, call.Sent, call.Code, call.Broken))
		}
	}
	for _, e := range c.in.Record.Executions {
		if e.RequestID == of.RequestID || (of.Key != "" && keys(e) == of.Key) {
			out = append(out, fmt.Sprintf("%s on %s from %v to %v: %s", e.RequestID, e.Run, e.Start, e.End, e.How))
		}
	}
	return strings.Join(out, "; ")
}

// keyOf keeps keys apart from request ids.
func keyOf(key string) string { return "key/" + key }

// stops checks the graceful stops of entry instances. A request is in flight
// when it was sent before the signal, or when it reached an upstream before the
// exit.
func (c *checker) stops() {
	ran := map[string]bool{}
	for _, e := range c.in.Record.Executions {
		ran[e.RequestID] = ran[e.RequestID] || e.How != NotRun
	}
	for _, s := range c.in.Stops {
		if s.ExitCode != 0 {
			c.add(GracefulStop, "%s exited with %d", s.Instance, s.ExitCode)
		}
		for _, call := range c.in.Calls {
			if call.Entry != s.Instance || !call.Broken || call.Ended < s.At {
				continue
			}
			before := call.Sent < s.At
			during := call.Sent < s.Exited && ran[call.RequestID]
			if before || during {
				c.add(GracefulStop, "%s was in flight at the stop of %s and got no whole answer: %s", call.RequestID, s.Instance, call.Answer)
			}
		}
	}
}
