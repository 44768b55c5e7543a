package stand

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the adviser.
const (
	decisionTime   = 20 * time.Millisecond
	perWorkerTime  = time.Millisecond
	ticketValidity = 3 * time.Second
	maxWaiting     = 32 // calls that wait
	maxAsked       = 100
)

// Adviser is the stand-in for the service that knows which workers may run a step.
type Adviser struct {
	Addr string

	rec     *Record
	waiting chan struct{}
	turn    sync.Mutex

	mu       sync.Mutex
	approved map[string]bool      // ids of the workers that may run any step
	issued   map[string]time.Time // when each ticket was issued
}

// NewAdviser starts an adviser that approves no worker so far.
func NewAdviser(rec *Record) (*Adviser, error) {
	a := &Adviser{rec: rec, waiting: make(chan struct{}, maxWaiting), approved: map[string]bool{}, issued: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.serve)
	var err error
	a.Addr, _, err = listenAndServe(mux)
	return a, err
}

// Approve lets a worker run all steps.
func (a *Adviser) Approve(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.approved[worker] = true
	a.rec.Event("adviser", "worker %s may run the steps", worker)
}

// May reports whether a worker may run the steps.
func (a *Adviser) May(worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.approved[worker]
}

func ticketOf(step, worker string) string { return step + "/" + worker }

// valid reports whether a ticket lets a worker start a task now.
func (a *Adviser) valid(ticket, task, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return ticket == ticketOf(step, worker) && time.Since(a.issued[ticket]) <= ticketValidity
}

func (a *Adviser) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"Step"`
		Workers []string `json:"Workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > maxAsked {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case a.waiting <- struct{}{}:
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	<-a.waiting
	time.Sleep(decisionTime + time.Duration(len(body.Workers))*perWorkerTime)
	a.turn.Unlock()
	rows := [][]string{}
	a.mu.Lock()
	for _, id := range body.Workers {
		if a.approved[id] {
			ticket := ticketOf(body.Step, id)
			a.issued[ticket] = time.Now()
			rows = append(rows, []string{id, ticket})
		}
	}
	a.mu.Unlock()
	a.rec.Limited("advice", "adviser", "%s: %d workers named, %d approved", body.Step, len(body.Workers), len(rows))
	if len(rows) == 0 {
		a.rec.Limited("advice without approval", "adviser", "%s: none of %d workers from %s to %s", body.Step, len(body.Workers), body.Workers[0], body.Workers[len(body.Workers)-1])
	}
	writeJSON(w, http.StatusOK, map[string]any{"Approved": rows, "ValidityMs": ticketValidity.Milliseconds()})
}
