// Package load sends bounded numbers of requests to entries and checks that
// every answer is whole and belongs to its own request. It is for development,
// demonstrations and tests.
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

// Config says what to send.
type Config struct {
	Entries     []string // base URLs, used in turn
	Service     string
	Tenant      string
	Class       job.Class
	Timeout     time.Duration // of a request
	Count       int           // requests in all
	Concurrency int           // requests in flight at most
	Pause       time.Duration // between two requests of one connection
	BodyBytes   int
	Keyed       bool   // send POST with an idempotency key instead of GET
	Seed        uint64 // of ids and bodies
}

// echoed is the part of the stand-in upstream's answer that is checked.
type echoed struct {
	RequestID string `json:"request_id"`
	BodySHA   string `json:"sha256"`
}

// Run sends the requests and returns what came back.
func Run(ctx context.Context, cfg Config) *Report {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Concurrency}}
	defer client.CloseIdleConnections()
	rep := newReport()
	next := make(chan int)
	var wg sync.WaitGroup
	for range cfg.Concurrency {
		wg.Go(func() { work(ctx, client, &cfg, next, rep) })
	}
	feed(ctx, next, cfg.Count)
	wg.Wait()
	return rep
}

func feed(ctx context.Context, next chan<- int, count int) {
	defer close(next)
	for i := range count {
		select {
		case next <- i:
		case <-ctx.Done():
			return
		}
	}
}

func work(ctx context.Context, client *http.Client, cfg *Config, next <-chan int, rep *Report) {
	for i := range next {
		send(ctx, client, cfg, i, rep)
		pause.For(ctx, cfg.Pause)
	}
}

// clientGrace is how much longer than the request's timeout the client waits
// for the entry's own answer.
const clientGrace = 2 * time.Second

func send(ctx context.Context, client *http.Client, cfg *Config, i int, rep *Report) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout+clientGrace)
	defer cancel()
	id := fmt.Sprintf("load-%d-%d", cfg.Seed, i)
	body := bodyOf(cfg, i)
	req, err := request(ctx, cfg, i, id, body)
	if err != nil {
		rep.wrong(id, err.Error())
		return
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		rep.broken()
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		rep.broken()
		return
	}
	check(resp, answer, id, body, time.Since(start), rep)
}

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

func request(ctx context.Context, cfg *Config, i int, id string, body []byte) (*http.Request, error) {
	method := http.MethodGet
	if cfg.Keyed {
		method = http.MethodPost
	}
	url := fmt.Sprintf("%s/services/%s/load/%d", cfg.Entries[i%len(cfg.Entries)], cfg.Service, i)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Skylark-Tenant", cfg.Tenant)
	req.Header.Set("Skylark-Class", string(cfg.Class))
	req.Header.Set("Skylark-Timeout-Ms", strconv.FormatInt(cfg.Timeout.Milliseconds(), 10))
	req.Header.Set("X-Request-Id", id)
	if cfg.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	return req, nil
}

func check(resp *http.Response, answer []byte, id string, body []byte, took time.Duration, rep *Report) {
	code, err := strconv.Atoi(resp.Header.Get("Skylark-Result"))
	if err != nil {
		rep.wrong(id, fmt.Sprintf("status %d without a result code", resp.StatusCode))
		return
	}
	rep.count(result.Code(code), took)
	if result.Code(code) != result.OK {
		return
	}
	var e echoed
	if err := json.Unmarshal(answer, &e); err != nil {
		rep.wrong(id, "answer is not whole: "+err.Error())
		return
	}
	sum := sha256.Sum256(body)
	if e.RequestID != id || e.BodySHA != hex.EncodeToString(sum[:]) {
		rep.wrong(id, "answer belongs to request "+e.RequestID)
	}
}
