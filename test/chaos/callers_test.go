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
	organisation        = "teiki"
	service             = "lookup"
	callerCount         = 10
	requestInterval     = 10 * time.Millisecond // pause of a caller after each operation
	maxKeyAttempts      = 4
	keyRetryDelay       = 150 * time.Millisecond
	clientTimeoutMargin = 2 * time.Second       // the client waits so much longer than the request's deadline
	arrivalMargin       = 20 * time.Millisecond // an entry reads a request at most this long after it was written
	slowResponseTime    = 400 * time.Millisecond
	stopCallTime        = 2 * time.Second // longer than an entry accepts connections after SIGTERM (1 s)
)

// callers send requests to all entries until they are stopped, and record the
// outcome of every call.
type callers struct {
	cluster *cluster
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	calls   []history.Call
}

// operation is a request that a caller wants to be carried out. With an
// idempotency key, the caller may need several calls.
type operation struct {
	id      string
	method  string
	key     string
	body    string
	path    string
	timeout time.Duration // deadline of a call; zero means callTimeout
}

// startCallers starts callerCount callers, each with its own random sequence.
func startCallers(c *cluster) *callers {
	ctx, cancel := context.WithCancel(c.ctx)
	cs := &callers{cluster: c, cancel: cancel}
	for i := range callerCount {
		r := rand.New(rand.NewPCG(c.rand.Uint64(), uint64(i)))
		cs.wg.Go(func() { cs.runCaller(ctx, i, r) })
	}
	return cs
}

// stop ends the callers, waits for the calls in flight and returns all calls.
func (cs *callers) stop() []history.Call {
	cs.cancel()
	cs.wg.Wait()
	return cs.calls
}

// runCaller performs one operation after another until ctx ends.
func (cs *callers) runCaller(ctx context.Context, caller int, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		cs.perform(client, newOperation(fmt.Sprintf("c%d-%d", caller, n), r), r)
		time.Sleep(requestInterval)
	}
}

// newOperation returns a random operation: a third each are GET, POST, and POST
// with an idempotency key; a tenth take slowResponseTime.
func newOperation(id string, r *rand.Rand) operation {
	op := operation{id: id, method: http.MethodGet, path: "/chaos/" + id}
	if r.IntN(10) == 0 {
		op.path += "?" + standin.QueryDelay + "=" + slowResponseTime.String()
	}
	switch r.IntN(3) {
	case 0:
		op.method, op.body = http.MethodPost, id
	case 1:
		op.method, op.body, op.key = http.MethodPost, id, "key-"+id
	}
	return op
}

// perform sends op once. With an idempotency key it sends op through one entry
// after the other until a call succeeds, at most maxKeyAttempts times.
func (cs *callers) perform(client *http.Client, op operation, r *rand.Rand) {
	attempts := 1
	if op.key != "" {
		attempts = maxKeyAttempts
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
			time.Sleep(keyRetryDelay)
		}
	}
}

// sendSlow sends one request that takes stopCallTime through n, in a goroutine of
// its own.
func (cs *callers) sendSlow(n *node, id string) {
	cs.wg.Go(func() {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		op := operation{id: id, method: http.MethodPost, body: id, path: "/chaos/" + id + "?" + standin.QueryDelay + "=" + stopCallTime.String(), timeout: 2 * stopCallTime}
		call := cs.send(client, n, op, 0)
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.calls = append(cs.calls, call)
	})
}

// send makes one call through n and returns its outcome. The call counts as sent
// only arrivalMargin after it was written: a request that the entry had not yet
// read when it was stopped was not in flight.
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
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), timeout+clientTimeoutMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, op.method, n.entryURL+"/services/"+service+op.path, strings.NewReader(op.body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // keeps the HTTP client from repeating the request
	req.Header.Set("Skylark-Tenant", organisation)
	req.Header.Set(contract.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	req.Header.Set(contract.HeaderRequestID, call.RequestID)
	if op.key != "" {
		req.Header["idempotency-key"] = []string{op.key}
	}
	resp, err := client.Do(req)
	if err == nil {
		err = readResponse(&call, resp, op)
	}
	call.Broken = err != nil
	if err != nil {
		call.ResponseStart = err.Error()
	}
	call.Ended = cs.cluster.now()
	mu.Lock()
	defer mu.Unlock()
	call.Sent = wrote + arrivalMargin
	return call
}

// readResponse reads the response to op and stores its outcome in call.
func readResponse(call *history.Call, resp *http.Response, op operation) error {
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
		call.ResponseStart = fmt.Sprintf("%s %v %.200s", resp.Status, resp.Header, body)
	}
	return nil
}

// matches reports whether the response is complete and belongs to op, and not to
// the request of another caller.
func matches(resp *http.Response, body []byte, op operation, id string) bool {
	var r standin.UpstreamResponse
	if json.Unmarshal(body, &r) != nil || resp.Header.Get(contract.HeaderRequestID) != id {
		return false
	}
	sum := sha256.Sum256([]byte(op.body))
	return r.BodyDigest == hex.EncodeToString(sum[:]) && r.Method == op.method && strings.HasSuffix(r.Path, op.path)
}

// serviceResponds reports whether a request to the service through the entry of n
// succeeds.
func serviceResponds(n *node) bool {
	req, err := http.NewRequest(http.MethodGet, n.entryURL+"/services/"+service+"/chaos/ready", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Skylark-Tenant", organisation)
	req.Header.Set(contract.HeaderRequestID, "ready-"+n.id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
