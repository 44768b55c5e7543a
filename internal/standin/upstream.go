package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/platform"
)

// Query parameters by which a request controls the response of an upstream.
const (
	QuerySize  = "standin_size"  // bytes of padding in the response
	QueryDelay = "standin_delay" // Go duration before the response
	QueryMode  = "standin_mode"  // "refuse", "fail" or "break"
)

// HeaderIdempotencyKey is the header with the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxPadding limits QuerySize, in bytes.
const maxPadding = 16 << 20

// UpstreamResponse is the body of an upstream's response. It repeats the request, so that a
// caller can check that the response belongs to it.
type UpstreamResponse struct {
	RequestID  string `json:"request_id"`
	BodyDigest string `json:"sha256"` // of the request's body, in hexadecimal
	Bytes      int64  `json:"bytes"`  // of the request's body
	Run        string `json:"run"`
	Worker     string `json:"worker"`
	Method     string `json:"method"`
	Path       string `json:"path"` // below the run's base URL, with the query
	Padding    string `json:"padding,omitempty"`
}

// upstreamRequest is one request to an upstream.
type upstreamRequest struct {
	worker      *worker
	run         *taskRun
	incarnation int // value of worker.boots at the start
	execution   history.Execution
	started     time.Time
	mode        string        // see QueryMode; empty for a normal response
	delay       time.Duration // service time
	size        int           // bytes of padding in the response
}

// upstreamHandler returns the HTTP handler of the worker's upstreams.
func (w *worker) upstreamHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/runs/{job}/{index}/{attempt}/{path...}", w.serve)
	return mux
}

// serve handles a request to an upstream: it closes the connection if the caller's zone is
// partitioned from the worker or the worker is paused for too long or dead.
func (w *worker) serve(rw http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), w.sys.cfg.CallTimeout.D())
	defer cancel()
	if zone := req.Header.Get(platform.HeaderCallerZone); zone != "" {
		if w.sys.faults.waitWhilePartitioned(ctx, zone, w.inst.Zone, 0) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if w.waitUntilResumed(ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	u, ok := w.admit(req)
	if !ok {
		u.refuse(rw)
		return
	}
	u.execute(rw, req)
}

// admit takes a slot for the request. It returns false if the request must be refused: its
// run is unknown, has ended or is stopping, the worker has no free slot, or a fault or the
// query demands it.
func (w *worker) admit(req *http.Request) (*upstreamRequest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked()
	id := runID(req)
	u := &upstreamRequest{worker: w, run: w.runs[id], incarnation: w.boots, started: time.Now(), execution: history.Execution{
		RequestID: req.Header.Get(contract.HeaderRequestID), Key: req.Header.Get(HeaderIdempotencyKey),
		Method: req.Method, Path: pathBelowRun(req), Run: id, Worker: w.inst.ID, Start: w.sys.now(),
	}}
	u.mode = req.URL.Query().Get(QueryMode)
	u.delay, _ = time.ParseDuration(req.URL.Query().Get(QueryDelay))
	u.size, _ = strconv.Atoi(req.URL.Query().Get(QuerySize))
	u.size = min(max(u.size, 0), maxPadding)
	u.applyFaults()
	if u.run == nil {
		return u, false
	}
	u.execution.Service = u.run.command.Service
	u.execution.DrainingFor = w.leavingTimeLocked(u.run)
	if u.run.state.Final() || u.run.stopping || u.mode == "refuse" {
		return u, false
	}
	if w.slots >= w.inst.Slots {
		w.sys.events.updatePeaks(w.inst.ID, func(p *history.WorkerPeaks) { p.SlotsRefused++ })
		return u, false
	}
	w.slots++
	u.run.inFlight++
	slots := w.slots
	w.sys.events.updatePeaks(w.inst.ID, func(p *history.WorkerPeaks) { p.Slots = max(p.Slots, slots) })
	u.delay += time.Duration(float64(u.run.family.ServiceTime) * w.slowdownLocked(u.run))
	return u, true
}

// applyFaults applies the injected upstream faults, which override the query parameters.
func (u *upstreamRequest) applyFaults() {
	if f, match := u.worker.match(UpstreamSlow); match {
		u.delay += f.Delay.D()
	}
	for kind, mode := range map[Kind]string{UpstreamRefuse: "refuse", UpstreamFail: "fail", UpstreamBreak: "break"} {
		if _, match := u.worker.match(kind); match {
			u.mode = mode
		}
	}
}

// leavingTimeLocked returns the time since the upstream of r first reported that it is
// leaving; 0 if it has not.
func (w *worker) leavingTimeLocked(r *taskRun) time.Duration {
	first := w.leavingSince
	if !r.leavingSince.IsZero() && (first.IsZero() || r.leavingSince.Before(first)) {
		first = r.leavingSince
	}
	if first.IsZero() {
		return 0
	}
	return time.Since(first)
}

// setHeaders sets the headers of every response, among them the one that reports that the
// upstream is leaving.
func (u *upstreamRequest) setHeaders(h http.Header) {
	h.Set(contract.HeaderRequestID, u.execution.RequestID)
	u.worker.mu.Lock()
	defer u.worker.mu.Unlock()
	leaving := u.worker.leavingLocked()
	if r := u.run; r != nil && (r.stopping || r.state.Final()) {
		leaving = true
		if r.leavingSince.IsZero() {
			r.leavingSince = time.Now()
		}
	}
	if leaving {
		h.Set(contract.HeaderLeaving, contract.HeaderTrue)
	}
}

// refuse responds with the header that proves that the request did not run.
func (u *upstreamRequest) refuse(rw http.ResponseWriter) {
	u.execution.Outcome = history.NotRun
	u.record()
	u.setHeaders(rw.Header())
	rw.Header().Set(contract.HeaderNotRun, contract.HeaderTrue)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// execute runs the request and records how it ended. It closes the connection without a
// response if the run, the worker or the caller ends first, or if a fault demands it.
func (u *upstreamRequest) execute(rw http.ResponseWriter, req *http.Request) {
	defer u.record()
	defer u.release()
	u.execution.Outcome = history.Interrupted
	sum := sha256.New()
	n, err := io.Copy(sum, io.LimitReader(req.Body, platform.MaxBodyBytes))
	if err != nil {
		u.execution.Outcome = history.CallerGone
		panic(http.ErrAbortHandler)
	}
	u.waitForService(req.Context())
	if u.mode == "fail" {
		u.execution.Outcome = history.Broken
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(UpstreamResponse{
		RequestID: u.execution.RequestID, BodyDigest: hex.EncodeToString(sum.Sum(nil)), Bytes: n,
		Run: u.execution.Run.String(), Worker: u.execution.Worker, Method: u.execution.Method,
		Path: u.execution.Path, Padding: strings.Repeat("x", u.size),
	})
	u.respond(rw, body)
}

// waitForService waits for the request's service time. It aborts the request if the run,
// the worker or the caller ends.
func (u *upstreamRequest) waitForService(ctx context.Context) {
	t := time.NewTimer(u.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		u.execution.Outcome = history.CallerGone
		panic(http.ErrAbortHandler)
	case <-u.run.done:
		panic(http.ErrAbortHandler)
	}
	if u.worker.waitUntilResumed(ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-u.run.done:
		panic(http.ErrAbortHandler)
	default:
	}
}

func (u *upstreamRequest) respond(rw http.ResponseWriter, body []byte) {
	u.setHeaders(rw.Header())
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if u.mode == "break" {
		u.execution.Outcome = history.Broken
		_, _ = rw.Write(body[:len(body)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, err := rw.Write(body); err != nil {
		u.execution.Outcome = history.CallerGone
		return
	}
	u.execution.Outcome = history.Completed
}

// release frees the slot of the request and ends a stopping run after its last request.
// Slots start anew with each incarnation, so a request of an earlier one frees none.
func (u *upstreamRequest) release() {
	w := u.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	u.run.inFlight--
	if u.incarnation == w.boots {
		w.slots--
	}
	if u.run.state.Final() {
		return
	}
	if len(u.run.latencies) < maxLatencies {
		u.run.latencies = append(u.run.latencies, time.Since(u.started))
	}
	if u.run.stopping && u.run.inFlight == 0 {
		w.advanceLocked()
		if !u.run.state.Final() {
			w.endLocked(u.run, contract.Stopped, reasonStopped, history.RunStopped, w.advancedTo)
		}
		w.setTimerLocked()
	}
}

func (u *upstreamRequest) record() {
	u.execution.End = u.worker.sys.now()
	u.worker.sys.events.addExecution(u.execution)
}

func runID(req *http.Request) job.RunID {
	index, _ := strconv.Atoi(req.PathValue("index"))
	attempt, _ := strconv.ParseUint(req.PathValue("attempt"), 10, 32)
	return job.RunID{Task: job.TaskID{Job: req.PathValue("job"), Index: index}, Attempt: uint32(attempt)}
}

// pathBelowRun returns the path below the run's base URL, with the query.
func pathBelowRun(req *http.Request) string {
	p := "/" + req.PathValue("path")
	if req.URL.RawQuery != "" {
		p += "?" + req.URL.RawQuery
	}
	return p
}
