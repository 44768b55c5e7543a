package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// startService starts a service run on the first worker and serves its upstream.
func startService(t *testing.T) (*System, *worker, *httptest.Server) {
	t.Helper()
	sys := New(testSettings())
	w := sys.workers[0]
	srv := httptest.NewUnstartedServer(w.upstreamHandler())
	srv.Config.ConnState = w.limitConns
	srv.Start()
	t.Cleanup(srv.Close)
	state, err := w.exchange(contract.ExchangeRequest{Worker: w.inst.ID})
	if err != nil {
		t.Fatal(err)
	}
	sendCommands(t, w, state, contract.ExchangeRequest{Start: []contract.StartCommand{{
		Run: runOf("teiki", 1), Kind: job.Service, Service: "teiki", Commit: resource.Vector{MilliCPU: 1000, MemoryMB: 1000},
	}}})
	return sys, w, srv
}

func sendCommands(t *testing.T, w *worker, state contract.ExchangeReply, req contract.ExchangeRequest) contract.ExchangeReply {
	t.Helper()
	req.Worker, req.Incarnation, req.Stamp, req.Grant = state.Worker, state.Incarnation, state.Stamp, job.Duration(time.Hour)
	reply, err := w.exchange(req)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

func send(t *testing.T, srv *httptest.Server, path string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(contract.HeaderRequestID, "r1")
	resp, err := srv.Client().Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

const bodyDigest = "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5" // of "body"

func TestUpstream(t *testing.T) {
	tests := []struct {
		name     string
		fault    Fault
		path     string
		status   int // zero if the connection closes before the response
		complete bool
		how      history.ExecutionOutcome
	}{
		{"complete response", Fault{}, "/runs/teiki/0/1/a/b?c=d", 200, true, history.Completed},
		{"large response", Fault{}, "/runs/teiki/0/1/a/b?standin_size=100000", 200, true, history.Completed},
		{"refused", Fault{}, "/runs/teiki/0/1/?standin_mode=refuse", 503, true, history.NotRun},
		{"fails", Fault{}, "/runs/teiki/0/1/?standin_mode=fail", 0, false, history.Broken},
		{"breaks", Fault{}, "/runs/teiki/0/1/?standin_mode=break", 200, false, history.Broken},
		{"no such run", Fault{}, "/runs/teiki/0/2/", 503, true, history.NotRun},
		{"refused by fault", Fault{Kind: UpstreamRefuse, Target: "workers"}, "/runs/teiki/0/1/", 503, true, history.NotRun},
		{"fails by fault", Fault{Kind: UpstreamFail, Target: "workers"}, "/runs/teiki/0/1/", 0, false, history.Broken},
		{"breaks by fault", Fault{Kind: UpstreamBreak, Target: "ishikari-w000"}, "/runs/teiki/0/1/", 200, false, history.Broken},
		{"fault elsewhere", Fault{Kind: UpstreamBreak, Target: "ishikari-w001"}, "/runs/teiki/0/1/", 200, true, history.Completed},
		{"leaving", Fault{Kind: Leave, Target: "ishikari-w000"}, "/runs/teiki/0/1/", 200, true, history.Completed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sys, _, srv := startService(t)
			if tt.fault.Kind != "" {
				if err := sys.Inject(tt.fault); err != nil {
					t.Fatal(err)
				}
			}
			resp, body, err := send(t, srv, tt.path)
			checkResponse(t, resp, body, err, tt.status, tt.complete)
			srv.Close()
			e := sys.History().Executions
			if len(e) != 1 || e[0].Outcome != tt.how || e[0].RequestID != "r1" {
				t.Errorf("executions %+v", e)
			}
			if resp == nil {
				return
			}
			if got := resp.Header.Get(contract.HeaderNotRun) == "true"; got != (tt.how == history.NotRun) {
				t.Errorf("not-run header %v", got)
			}
			if got := resp.Header.Get(contract.HeaderLeaving) == "true"; got != (tt.fault.Kind == Leave) {
				t.Errorf("leaving header %v", got)
			}
		})
	}
}

func checkResponse(t *testing.T, resp *http.Response, body []byte, err error, status int, complete bool) {
	t.Helper()
	if (err == nil) != complete {
		t.Fatalf("error %v, want a complete response: %v", err, complete)
	}
	if status == 0 {
		return
	}
	if resp == nil || resp.StatusCode != status {
		t.Fatalf("response %v, want status %d", resp, status)
	}
	if status != http.StatusOK || !complete {
		return
	}
	var r UpstreamResponse
	if err := json.Unmarshal(body, &r); err != nil {
		t.Fatal(err)
	}
	if r.RequestID != "r1" || r.BodyDigest != bodyDigest || r.Bytes != 4 || r.Run != "teiki/0#1" {
		t.Errorf("response %+v", r)
	}
}

// TestStopDrains checks a graceful stop during a request: the request completes, a later
// one is refused with proof that it did not run, and then the run stops.
func TestStopDrains(t *testing.T) {
	sys, w, srv := startService(t)
	release := make(chan struct{})
	finished := make(chan error, 1)
	go func() {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/runs/teiki/0/1/", blockingBody{release})
		resp, err := srv.Client().Do(req)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		finished <- err
	}()
	waitSlotInUse(w)
	state, _ := w.exchange(contract.ExchangeRequest{Worker: w.inst.ID})
	reply := sendCommands(t, w, state, contract.ExchangeRequest{Stop: []contract.StopCommand{{Run: runOf("teiki", 1)}}})
	if r := reply.Runs[0]; r.State != contract.Running || !r.Leaving {
		t.Errorf("while draining: %+v", r)
	}
	resp, _, err := send(t, srv, "/runs/teiki/0/1/")
	if err != nil || resp.Header.Get(contract.HeaderNotRun) != "true" || resp.Header.Get(contract.HeaderLeaving) != "true" {
		t.Errorf("a new request: %v, %v", resp, err)
	}
	close(release)
	if err := <-finished; err != nil {
		t.Errorf("the request in flight: %v", err)
	}
	srv.Close()
	events := sys.History().Runs
	if last := events[len(events)-1]; last.Kind != history.RunStopped {
		t.Errorf("last event %+v", last)
	}
}

// blockingBody is a request body that ends when release is closed.
type blockingBody struct{ release chan struct{} }

func (b blockingBody) Read([]byte) (int, error) {
	<-b.release
	return 0, io.EOF
}

// waitSlotInUse waits until at least one request occupies a slot of w.
func waitSlotInUse(w *worker) {
	for inUse := 0; inUse == 0; {
		w.mu.Lock()
		inUse = w.slots
		w.mu.Unlock()
	}
}

func TestSlotsAndConnections(t *testing.T) {
	sys, w, srv := startService(t)
	w.mu.Lock()
	w.slots = w.inst.Slots
	w.mu.Unlock()
	resp, _, err := send(t, srv, "/runs/teiki/0/1/")
	if err != nil || resp.Header.Get(contract.HeaderNotRun) != "true" {
		t.Errorf("over the slots: %v, %v", resp, err)
	}
	w.mu.Lock()
	w.slots, w.inst.Conns = 0, 1
	w.mu.Unlock()
	other := &http.Client{Transport: &http.Transport{}}
	if resp, err := other.Get(srv.URL + "/runs/teiki/0/1/"); err == nil {
		_ = resp.Body.Close()
		t.Error("a connection beyond the limit was served")
	}
	p := sys.History().Workers[0]
	if p.SlotsRefused != 1 || p.ConnsRefused == 0 || p.Conns != 1 {
		t.Errorf("peaks %+v", p)
	}
}

func TestKillAbortsRequests(t *testing.T) {
	_, w, srv := startService(t)
	failed := make(chan error, 1)
	go func() {
		_, _, err := send(t, srv, "/runs/teiki/0/1/?standin_delay=1h")
		failed <- err
	}()
	waitSlotInUse(w)
	w.kill()
	if err := <-failed; err == nil {
		t.Error("a request outlived its worker")
	}
}
