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

// UpstreamResponse is the body of an upstream's response. It repeats the request, so that a caller
// can check that the response belongs to it.
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
	s, ok := w.admit(req)
	if !ok {
		s.refuse(rw)
		return
	}
	s.execute(rw, req)
}

// admit takes a slot for the request. It returns false if the request must be refused: its
// run is unknown, has ended or is stopping, the worker has no free slot, or a fault or the
// query demands it.
func (w *worker) admit(req *http.Request) (*upstreamRequest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceLocked()
	id := runID(req)
	s := &upstreamRequest{worker: w, run: w.runs[id], incarnation: w.boots, started: time.Now(), execution: history.Execution{
		RequestID: req.Header.Get(contract.HeaderRequestID), Key: req.Header.Get(HeaderIdempotencyKey),
		Method: req.Method, Path: pathBelowRun(req), Run: id, Worker: w.inst.ID, Start: w.sys.now(),
	}}
	s.mode = req.URL.Query().Get(QueryMode)
	s.delay, _ = time.ParseDuration(req.URL.Query().Get(QueryDelay))
	s.size, _ = strconv.Atoi(req.URL.Query().Get(QuerySize))
	s.size = min(max(s.size, 0), maxPadding)
	s.applyFaults()
	if s.run == nil {
		return s, false
	}
	s.execution.Service = s.run.command.Service
	s.execution.DrainingFor = w.leavingTimeLocked(s.run)
	if s.run.state.Final() || s.run.stopping || s.mode == "refuse" {
		return s, false
	}
	if w.slots >= w.inst.Slots {
		w.sys.events.updateMarks(w.inst.ID, func(m *history.WorkerPeaks) { m.SlotsRefused++ })
		return s, false
	}
	w.slots++
	s.run.inFlight++
	slots := w.slots
	w.sys.events.updateMarks(w.inst.ID, func(m *history.WorkerPeaks) { m.Slots = max(m.Slots, slots) })
	s.delay += time.Duration(float64(s.run.family.ServiceTime) * w.slowdownLocked(s.run))
	return s, true
}

// applyFaults applies the injected upstream faults, which override the query parameters.
func (s *upstreamRequest) applyFaults() {
	if f, match := s.worker.match(UpstreamSlow); match {
		s.delay += f.Delay.D()
	}
	for kind, mode := range map[Kind]string{UpstreamRefuse: "refuse", UpstreamFail: "fail", UpstreamBreak: "break"} {
		if _, match := s.worker.match(kind); match {
			s.mode = mode
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
func (s *upstreamRequest) setHeaders(h http.Header) {
	h.Set(contract.HeaderRequestID, s.execution.RequestID)
	s.worker.mu.Lock()
	defer s.worker.mu.Unlock()
	leaving := s.worker.leavingLocked()
	if r := s.run; r != nil && (r.stopping || r.state.Final()) {
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
func (s *upstreamRequest) refuse(rw http.ResponseWriter) {
	s.execution.Outcome = history.NotRun
	s.record()
	s.setHeaders(rw.Header())
	rw.Header().Set(contract.HeaderNotRun, contract.HeaderTrue)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// execute runs the request and records how it ended. It closes the connection without a
// response if the run, the worker or the caller ends first, or if a fault demands it.
func (s *upstreamRequest) execute(rw http.ResponseWriter, req *http.Request) {
	defer s.record()
	defer s.release()
	s.execution.Outcome = history.Interrupted
	sum := sha256.New()
	n, err := io.Copy(sum, io.LimitReader(req.Body, platform.MaxBodyBytes))
	if err != nil {
		s.execution.Outcome = history.CallerGone
		panic(http.ErrAbortHandler)
	}
	s.waitForService(req.Context())
	if s.mode == "fail" {
		s.execution.Outcome = history.Broken
		panic(http.ErrAbortHandler)
	}
	body, _ := json.Marshal(UpstreamResponse{
		RequestID: s.execution.RequestID, BodyDigest: hex.EncodeToString(sum.Sum(nil)), Bytes: n,
		Run: s.execution.Run.String(), Worker: s.execution.Worker, Method: s.execution.Method,
		Path: s.execution.Path, Padding: strings.Repeat("x", s.size),
	})
	s.respond(rw, body)
}

// waitForService waits for the request's service time. It aborts the request if the run,
// the worker or the caller ends.
func (s *upstreamRequest) waitForService(ctx context.Context) {
	t := time.NewTimer(s.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		s.execution.Outcome = history.CallerGone
		panic(http.ErrAbortHandler)
	case <-s.run.done:
		panic(http.ErrAbortHandler)
	}
	if s.worker.waitUntilResumed(ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-s.run.done:
		panic(http.ErrAbortHandler)
	default:
	}
}

func (s *upstreamRequest) respond(rw http.ResponseWriter, body []byte) {
	s.setHeaders(rw.Header())
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.mode == "break" {
		s.execution.Outcome = history.Broken
		_, _ = rw.Write(body[:len(body)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, err := rw.Write(body); err != nil {
		s.execution.Outcome = history.CallerGone
		return
	}
	s.execution.Outcome = history.Completed
}

// release frees the slot of the request and ends a stopping run after its last request.
// Slots start anew with each incarnation, so a request of an earlier one frees none.
func (s *upstreamRequest) release() {
	w := s.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	s.run.inFlight--
	if s.incarnation == w.boots {
		w.slots--
	}
	if s.run.state.Final() {
		return
	}
	if len(s.run.latencies) < maxLatencies {
		s.run.latencies = append(s.run.latencies, time.Since(s.started))
	}
	if s.run.stopping && s.run.inFlight == 0 {
		w.advanceLocked()
		if !s.run.state.Final() {
			w.endLocked(s.run, contract.Stopped, reasonStopped, history.RunStopped, w.advancedTo)
		}
		w.setTimerLocked()
	}
}

func (s *upstreamRequest) record() {
	s.execution.End = s.worker.sys.now()
	s.worker.sys.events.addExecution(s.execution)
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
