package history

import (
	"net/http"

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
		if e.Key != "" {
			id = "key " + e.Service + "/" + e.Key
		}
		if ran[id]++; ran[id] == 2 {
			c.add(AtMostOnce, "%s ran twice, last on %s", id, e.Run)
		}
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
	for _, e := range c.in.Record.Executions {
		if e.How == NotRun {
			continue
		}
		ran[e.RequestID] = e.Run
		if e.How == Completed {
			completed[e.RequestID] = true
			completed[keyOf(e.Key)] = true
		}
	}
	for _, call := range c.in.Calls {
		run, did := ran[call.RequestID]
		if call.NotRun && did {
			c.add(NotRunHonest, "%s was refused as not run (%d) and ran on %s", call.RequestID, call.Code, run)
		}
		if call.Code != result.OK || call.Broken {
			continue
		}
		if !call.Matches {
			c.add(WholeAnswer, "%s got an answer that is not its own or not whole: %s", call.RequestID, call.Answer)
		}
		if !completed[call.RequestID] && (call.Key == "" || !completed[keyOf(call.Key)]) {
			c.add(WholeAnswer, "%s was answered and no upstream completed it", call.RequestID)
		}
	}
}

// keyOf keeps keys apart from request ids.
func keyOf(key string) string { return "key/" + key }

// stops checks the graceful stops of entry instances.
func (c *checker) stops() {
	for _, s := range c.in.Stops {
		if s.ExitCode != 0 {
			c.add(GracefulStop, "%s exited with %d", s.Instance, s.ExitCode)
		}
		for _, call := range c.in.Calls {
			inFlight := call.Sent < s.At && call.Ended > s.At
			if call.Entry == s.Instance && inFlight && call.Broken {
				c.add(GracefulStop, "%s was in flight at the stop of %s and got no whole answer", call.RequestID, s.Instance)
			}
		}
	}
}
