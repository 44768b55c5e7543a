package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	deadline = 3 * time.Second // of a client's request, X-Deadline-Ms
	retries  = 4               // of a client after the first attempt
)

var front = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// clients sends the requests of clients to the nodes.
type clients struct {
	judge *judge
	nodes func() []string // front addresses in rotation
	host  string
}

// call sends one request, and returns its status (0 for no answer) and body.
func (c *clients) call(method, path string, body []byte, wait time.Duration) (int, []byte, http.Header) {
	nodes := c.nodes()
	if len(nodes) == 0 {
		return 0, nil, nil
	}
	node := nodes[rand.N(len(nodes))]
	r, err := http.NewRequest(method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		giveUp("%v", err)
	}
	r.Host = c.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	client := *front
	client.Timeout = wait
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, b, resp.Header
}

// newID returns a new id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with the retries of a client. It reports whether the job was accepted.
func (c *clients) submit(prefix string, j *job) bool {
	body := c.prepare(j)
	end := time.Now().Add(deadline)
	for try := 0; try <= retries && time.Now().Before(end); try++ {
		status, _, header := c.call(http.MethodPost, prefix+j.ID, body, time.Until(end))
		c.judge.log("POST  %s -> %d", j.ID, status)
		switch status / 100 {
		case 2:
			j.mu.Lock()
			j.accept = time.Now()
			j.mu.Unlock()
			return true
		case 4:
			if status != http.StatusTooManyRequests {
				return false
			}
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			j.unsure = true
		}
		pause := 200 * time.Millisecond
		if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
			pause = time.Duration(s) * time.Second
		}
		time.Sleep(min(pause, max(0, time.Until(end))))
	}
	return false
}

// submitOnce hands a job in with one attempt, and reports whether it was accepted.
func (c *clients) submitOnce(prefix string, j *job) bool {
	status, _, _ := c.call(http.MethodPost, prefix+j.ID, c.prepare(j), deadline)
	c.judge.log("POST  %s -> %d", j.ID, status)
	return status/100 == 2
}

// prepare makes the judge know a job, and returns the body of its submission.
func (c *clients) prepare(j *job) []byte {
	if j.ID == "" {
		j.ID = newID()
	}
	if j.TaskSpec == "" {
		j.TaskSpec = "spec of " + j.ID
	}
	c.judge.mu.Lock()
	c.judge.jobs[j.ID] = j
	c.judge.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		giveUp("%v", err)
	}
	return body
}

// stateOf asks for the state of a job once. It returns "" without an answer, and "gone" after 410.
func (c *clients) stateOf(prefix string, j *job) string {
	status, b, _ := c.call(http.MethodGet, prefix+j.ID, nil, deadline)
	var out struct{ State string }
	switch {
	case status == http.StatusOK && json.Unmarshal(b, &out) == nil:
		return out.State
	case status == http.StatusGone:
		return "gone"
	}
	return ""
}

// drop cancels a job, again and again for AckTimeoutMs.
func (c *clients) drop(prefix string, j *job) bool {
	j.mu.Lock()
	j.cancel = time.Now()
	j.mu.Unlock()
	end := time.Now().Add(4 * time.Second)
	for time.Now().Before(end) {
		status, _, _ := c.call(http.MethodDelete, prefix+j.ID, nil, deadline)
		c.judge.log("DELETE %s -> %d", j.ID, status)
		if status/100 == 2 || status == http.StatusGone {
			j.mu.Lock()
			j.noted = time.Now()
			j.mu.Unlock()
			return true
		}
		time.Sleep(150 * time.Millisecond)
	}
	return false
}
