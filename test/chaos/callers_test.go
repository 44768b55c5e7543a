//go:build chaos

package chaos

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/result"
	"skylarkport/internal/standin"
)

const (
	tenant       = "teiki"
	service      = "lookup"
	callerCount  = 10
	callerPause  = 10 * time.Millisecond
	keyAttempts  = 4
	keyPause     = 150 * time.Millisecond
	clientGrace  = 2 * time.Second
	arrivalGrace = 20 * time.Millisecond // from the writing of a request to its reading
	slowAnswer   = 400 * time.Millisecond
	stopDelay    = 2 * time.Second // beyond the time that an entry keeps listening after a signal
)

// callers send requests until they are stopped, and log what they saw.
type callers struct {
	cluster *cluster
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	calls   []history.Call
}

// operation is what one caller wants; a key may need several calls.
type operation struct {
	id     string
	method string
	key    string
	body   string
	path   string
	// timeout replaces callTimeout where it is not zero.
	timeout time.Duration
}

// startCallers starts callers with seeds of their own.
func startCallers(c *cluster) *callers {
	ctx, cancel := context.WithCancel(c.ctx)
	cs := &callers{cluster: c, cancel: cancel}
	for i := range callerCount {
		r := rand.New(rand.NewPCG(c.rand.Uint64(), uint64(i)))
		cs.wg.Go(func() { cs.loop(ctx, i, r) })
	}
	return cs
}

// stop waits for the calls in flight and returns the log.
func (cs *callers) stop() []history.Call {
	cs.cancel()
	cs.wg.Wait()
	return cs.calls
}

func (cs *callers) loop(ctx context.Context, caller int, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		cs.perform(client, newOperation(fmt.Sprintf("c%d-%d", caller, n), r), r)
		time.Sleep(callerPause)
	}
}

func newOperation(id string, r *rand.Rand) operation {
	op := operation{id: id, method: http.MethodGet, path: "/chaos/" + id}
	if r.IntN(10) == 0 {
		op.path += "?" + standin.QueryDelay + "=" + slowAnswer.String()
	}
	switch r.IntN(3) {
	case 0:
		op.method, op.body = http.MethodPost, id
	case 1:
		op.method, op.body, op.key = http.MethodPost, id, "key-"+id
	}
	return op
}

// perform sends op once or, with a key, until an answer is final, each time
// through another entry.
func (cs *callers) perform(client *http.Client, op operation, r *rand.Rand) {
	attempts := 1
	if op.key != "" {
		attempts = keyAttempts
	}
	first := r.IntN(len(cs.cluster.nodes))
	for a := range attempts {
		n := cs.cluster.nodes[(first+a)%len(cs.cluster.nodes)]
		call := cs.send(client, n, op, a)
		cs.mu.Lock()
		cs.calls = append(cs.calls, call)
		cs.mu.Unlock()
		if call.Code == result.OK && !call.Broken {
			return
		}
		if op.key != "" {
			time.Sleep(keyPause)
		}
	}
}

// once sends one request that takes stopDelay through n, beside the others.
func (cs *callers) once(n *node, id string) {
	cs.wg.Go(func() {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		op := operation{id: id, method: http.MethodPost, body: id, path: "/chaos/" + id + "?" + standin.QueryDelay + "=" + stopDelay.String(), timeout: 2 * stopDelay}
		call := cs.send(client, n, op, 0)
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.calls = append(cs.calls, call)
	})
}

func (cs *callers) send(client *http.Client, n *node, op operation, attempt int) history.Call {
	call := history.Call{
		RequestID: fmt.Sprintf("%s-%d", op.id, attempt), Key: op.key, Entry: n.id,
		Idempotent: op.method == http.MethodGet,
	}
	var mu sync.Mutex
	wrote := cs.cluster.now()
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		wrote = cs.cluster.now()
	}}
	timeout := cmp.Or(op.timeout, callTimeout)
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), timeout+clientGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, op.method, n.entryURL+"/services/"+service+op.path, strings.NewReader(op.body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // the client must not send again by itself
	req.Header.Set("Skylark-Tenant", tenant)
	req.Header.Set(contract.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	req.Header.Set(contract.HeaderRequestID, call.RequestID)
	if op.key != "" {
		req.Header["idempotency-key"] = []string{op.key}
	}
	resp, err := client.Do(req)
	if err == nil {
		err = read(&call, resp, op)
	}
	call.Broken = err != nil
	if err != nil {
		call.Answer = err.Error()
	}
	call.Ended = cs.cluster.now()
	mu.Lock()
	defer mu.Unlock()
	call.Sent = wrote + arrivalGrace
	return call
}

// read takes the answer to op into call.
func read(call *history.Call, resp *http.Response, op operation) error {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	code, _ := strconv.Atoi(resp.Header.Get("Skylark-Result"))
	call.Code = result.Code(code)
	call.NotRun = resp.Header.Get(contract.HeaderNotRun) != ""
	call.Matches = call.Code == result.OK && matches(resp, body, op, call.RequestID)
	if call.Code == result.OK && !call.Matches {
		call.Answer = fmt.Sprintf("%s %v %.200s", resp.Status, resp.Header, body)
	}
	return nil
}

// matches reports whether the answer is whole and that of op.
func matches(resp *http.Response, body []byte, op operation, id string) bool {
	var a standin.Answer
	if json.Unmarshal(body, &a) != nil || resp.Header.Get(contract.HeaderRequestID) != id {
		return false
	}
	sum := sha256.Sum256([]byte(op.body))
	return a.Digest == hex.EncodeToString(sum[:]) && a.Method == op.method && strings.HasSuffix(a.Path, op.path)
}

// answers reports whether the entry answers a lookup.
func answers(n *node) bool {
	req, err := http.NewRequest(http.MethodGet, n.entryURL+"/services/"+service+"/chaos/ready", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Skylark-Tenant", tenant)
	req.Header.Set(contract.HeaderRequestID, "ready-"+n.id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
