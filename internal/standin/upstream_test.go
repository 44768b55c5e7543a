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
	srv := httptest.NewUnstartedServer(w.data())
	srv.Config.ConnState = w.countConn
	srv.Start()
	t.Cleanup(srv.Close)
	ask, err := w.exchange(contract.ExchangeRequest{Worker: w.inst.ID})
	if err != nil {
		t.Fatal(err)
	}
	order(t, w, ask, contract.ExchangeRequest{Start: []contract.StartCommand{{
		Run: runOf("teiki", 1), Kind: job.Service, Service: "teiki", Commit: resource.Vector{MilliCPU: 1000, MemoryMB: 1000},
	}}})
	return sys, w, srv
}

func order(t *testing.T, w *worker, ask contract.ExchangeReply, req contract.ExchangeRequest) contract.ExchangeReply {
	t.Helper()
	req.Worker, req.Incarnation, req.Stamp, req.Grant = ask.Worker, ask.Incarnation, ask.Stamp, job.Duration(time.Hour)
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
		name   string
		fault  Fault
		path   string
		status int // zero for a broken connection before the answer
		whole  bool
		how    history.ExecutionEnd
	}{
		{"answer", Fault{}, "/runs/teiki/0/1/a/b?c=d", 200, true, history.Completed},
		{"large answer", Fault{}, "/runs/teiki/0/1/a/b?standin_size=100000", 200, true, history.Completed},
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
			checkAnswer(t, resp, body, err, tt.status, tt.whole)
			srv.Close()
			e := sys.History().Executions
			if len(e) != 1 || e[0].How != tt.how || e[0].RequestID != "r1" {
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

func checkAnswer(t *testing.T, resp *http.Response, body []byte, err error, status int, whole bool) {
	t.Helper()
	if (err == nil) != whole {
		t.Fatalf("error %v, want a whole answer: %v", err, whole)
	}
	if status == 0 {
		return
	}
	if resp == nil || resp.StatusCode != status {
		t.Fatalf("answer %v, want status %d", resp, status)
	}
	if status != http.StatusOK || !whole {
		return
	}
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	if a.RequestID != "r1" || a.Digest != bodyDigest || a.Bytes != 4 || a.Run != "teiki/0#1" {
		t.Errorf("answer %+v", a)
	}
}

// TestStopDrains holds a graceful stop against a request in flight: the request
// ends whole, a later one is proved not run, and then the run is stopped.
func TestStopDrains(t *testing.T) {
	sys, w, srv := startService(t)
	release := make(chan struct{})
	answered := make(chan error, 1)
	go func() {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/runs/teiki/0/1/", blockingBody{release})
		resp, err := srv.Client().Do(req)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		answered <- err
	}()
	waitInFlight(w)
	ask, _ := w.exchange(contract.ExchangeRequest{Worker: w.inst.ID})
	reply := order(t, w, ask, contract.ExchangeRequest{Stop: []contract.StopCommand{{Run: runOf("teiki", 1)}}})
	if r := reply.Runs[0]; r.State != contract.Running || !r.Leaving {
		t.Errorf("while draining: %+v", r)
	}
	resp, _, err := send(t, srv, "/runs/teiki/0/1/")
	if err != nil || resp.Header.Get(contract.HeaderNotRun) != "true" || resp.Header.Get(contract.HeaderLeaving) != "true" {
		t.Errorf("a new request: %v, %v", resp, err)
	}
	close(release)
	if err := <-answered; err != nil {
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

// waitInFlight waits for the first request to hold a slot.
func waitInFlight(w *worker) {
	for held := 0; held == 0; {
		w.mu.Lock()
		held = w.slots
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
		t.Error("a connection too many was served")
	}
	m := sys.History().Workers[0]
	if m.SlotsRefused != 1 || m.ConnsRefused == 0 || m.Conns != 1 {
		t.Errorf("marks %+v", m)
	}
}

func TestLapseCutsRequests(t *testing.T) {
	_, w, srv := startService(t)
	failed := make(chan error, 1)
	go func() {
		_, _, err := send(t, srv, "/runs/teiki/0/1/?standin_delay=1h")
		failed <- err
	}()
	waitInFlight(w)
	w.kill()
	if err := <-failed; err == nil {
		t.Error("a request outlived its worker")
	}
}
