package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// clientDeadline is how long a client waits for an answer, as on the sheet.
const clientDeadline = 3 * time.Second

// retries is how often a client asks again, as on the sheet.
const retries = 4

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}

// NewID returns the id of a job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ask sends one request to a node and returns the status and the body, 0 if there was no answer.
func (c *Cluster) ask(node int, method string, route *Route, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[node].front+route.Prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = route.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// Submit hands a job in and asks again at other nodes after no, a 429, a 502, a 503 or a 504
// answer. It reports whether the job was accepted.
func (c *Cluster) Submit(job *Job) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	c.Judge.submitted(job)
	for range 1 + retries {
		status, text := c.ask(rand.IntN(len(c.nodes)), http.MethodPost, job.Route, job.ID, body)
		c.rec.Limited(fmt.Sprintf("POST %s %d", job.Route.Name, status), "client", "POST %s %s: %d %s", job.Route.Name, job.ID, status, text)
		if status >= 200 && status < 300 {
			c.Judge.accepted(job)
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// State asks for the state of a job, again at other nodes where there is no answer. The status
// is 0 if none answered.
func (c *Cluster) State(job *Job) (status int, state string) {
	for range 1 + retries {
		var text string
		status, text = c.ask(rand.IntN(len(c.nodes)), http.MethodGet, job.Route, job.ID, nil)
		var b struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &b) == nil {
			return status, b.State
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return status, text
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, ""
}
