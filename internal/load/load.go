// Package load sends a bounded number of requests to entries and checks that
// every response is complete and belongs to its own request. It is for
// development, demonstrations and tests.
package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/pause"
	"skylarkport/internal/result"
)

// Config describes the requests to send.
type Config struct {
	Entries      []string // base URLs, used in rotation
	Service      string
	Organisation string
	Class        job.Class
	Timeout      time.Duration // of a request
	Count        int           // total number of requests
	Concurrency  int           // maximum number of requests in flight
	Pause        time.Duration // after each request of a sender, of which there are Concurrency
	BodyBytes    int
	Keyed        bool   // send POST with an idempotency key instead of GET
	Seed         uint64 // for request ids and bodies
}

// upstreamReply is the part of the stand-in upstream's response that is
// checked: the request's id and the hash of its body.
type upstreamReply struct {
	RequestID string `json:"request_id"`
	BodySHA   string `json:"sha256"`
}

// Run sends the requests and returns a report of the responses. It ends early
// when ctx ends.
func Run(ctx context.Context, cfg Config) *Report {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Concurrency}}
	defer client.CloseIdleConnections()
	rep := newReport()
	next := make(chan int)
	var wg sync.WaitGroup
	for range cfg.Concurrency {
		wg.Go(func() { sendLoop(ctx, client, &cfg, next, rep) })
	}
	feedNumbers(ctx, next, cfg.Count)
	wg.Wait()
	return rep
}

// feedNumbers sends the numbers of the requests to the senders.
func feedNumbers(ctx context.Context, next chan<- int, count int) {
	defer close(next)
	for i := range count {
		select {
		case next <- i:
		case <-ctx.Done():
			return
		}
	}
}

// sendLoop sends requests one after another until there are none left.
func sendLoop(ctx context.Context, client *http.Client, cfg *Config, next <-chan int, rep *Report) {
	for i := range next {
		send(ctx, client, cfg, i, rep)
		pause.For(ctx, cfg.Pause)
	}
}

// clientGrace is added to the request's timeout, so that the entry's own response
// to a timeout arrives before the client gives up.
const clientGrace = 2 * time.Second

// send sends request i and records the outcome.
func send(ctx context.Context, client *http.Client, cfg *Config, i int, rep *Report) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout+clientGrace)
	defer cancel()
	id := fmt.Sprintf("load-%d-%d", cfg.Seed, i)
	body := bodyOf(cfg, i)
	req, err := newRequest(ctx, cfg, i, id, body)
	if err != nil {
		rep.recordWrongResponse(id, err.Error())
		return
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		rep.recordBrokenConnection()
		return
	}
	defer resp.Body.Close()
	payload, err := io.ReadAll(resp.Body)
	if err != nil {
		rep.recordBrokenConnection()
		return
	}
	checkResponse(resp, payload, id, body, time.Since(start), rep)
}

// bodyOf returns the body of request i, which depends only on i, the seed and the
// size.
func bodyOf(cfg *Config, i int) []byte {
	if !cfg.Keyed {
		return nil
	}
	b := make([]byte, cfg.BodyBytes)
	r := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
	for j := range b {
		b[j] = byte('a' + r.IntN(26))
	}
	return b
}

func newRequest(ctx context.Context, cfg *Config, i int, id string, body []byte) (*http.Request, error) {
	method := http.MethodGet
	if cfg.Keyed {
		method = http.MethodPost
	}
	url := fmt.Sprintf("%s/services/%s/load/%d", cfg.Entries[i%len(cfg.Entries)], cfg.Service, i)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Skylark-Tenant", cfg.Organisation)
	req.Header.Set("Skylark-Class", string(cfg.Class))
	req.Header.Set("Skylark-Timeout-Ms", strconv.FormatInt(cfg.Timeout.Milliseconds(), 10))
	req.Header.Set("X-Request-Id", id)
	if cfg.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	return req, nil
}

// checkResponse records the result code of a response and, for a successful
// one, whether it is complete and belongs to the request.
func checkResponse(resp *http.Response, payload []byte, id string, body []byte, latency time.Duration, rep *Report) {
	code, err := strconv.Atoi(resp.Header.Get("Skylark-Result"))
	if err != nil {
		rep.recordWrongResponse(id, fmt.Sprintf("HTTP status %d without a result code", resp.StatusCode))
		return
	}
	rep.recordResponse(result.Code(code), latency)
	if result.Code(code) != result.OK {
		return
	}
	var e upstreamReply
	if err := json.Unmarshal(payload, &e); err != nil {
		rep.recordWrongResponse(id, "incomplete response: "+err.Error())
		return
	}
	sum := sha256.Sum256(body)
	if e.RequestID != id || e.BodySHA != hex.EncodeToString(sum[:]) {
		rep.recordWrongResponse(id, "response belongs to request "+e.RequestID)
	}
}
