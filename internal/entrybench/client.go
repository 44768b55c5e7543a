package entrybench

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkport/internal/contract"
	"skylarkport/internal/forward"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// client sends requests to the entry or straight to the upstream.
type client struct {
	http *http.Client
	ids  atomic.Int64
}

// newClient returns a client that keeps up to conns idle connections. A nil
// dial is TCP.
func newClient(conns int, dial forward.Dialer) *client {
	t := &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true, DialContext: dial}
	return &client{http: &http.Client{Transport: t}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// request is what a caller asks for.
type request struct {
	tenant  string
	class   job.Class
	timeout time.Duration
}

// outcome is what a caller saw. The code is zero where the connection broke.
type outcome struct {
	code result.Code
	took time.Duration
}

func (c *client) get(url string, q request) outcome {
	start := time.Now()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return outcome{}
	}
	req.Header[contract.HeaderRequestID] = []string{strconv.FormatInt(c.ids.Add(1), 10)}
	req.Header[forward.HeaderTenant] = []string{q.tenant}
	if q.class != "" {
		req.Header[forward.HeaderClass] = []string{string(q.class)}
	}
	if q.timeout > 0 {
		req.Header[forward.HeaderTimeout] = []string{strconv.FormatInt(q.timeout.Milliseconds(), 10)}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{took: time.Since(start)}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return outcome{took: time.Since(start)}
	}
	code := result.OK
	if v := resp.Header.Get(forward.HeaderResult); v != "" {
		n, _ := strconv.Atoi(v)
		code = result.Code(n)
	}
	return outcome{code, time.Since(start)}
}

// Bounds of the histograms.
const (
	histogramMost   = int64(time.Minute)
	histogramDigits = 3
)

// tally counts outcomes.
type tally struct {
	mu      sync.Mutex
	ok      *hdrhistogram.Histogram // nanoseconds
	refused *hdrhistogram.Histogram
	late    int64 // answered after their deadline, or timed out at the upstream
	broken  int64
	sent    int64
}

func newTally() *tally {
	return &tally{
		ok:      hdrhistogram.New(1, histogramMost, histogramDigits),
		refused: hdrhistogram.New(1, histogramMost, histogramDigits),
	}
}

func (t *tally) add(o outcome, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case o.code == result.OK && timeout > 0 && o.took > timeout:
		t.late++
	case o.code == result.OK:
		_ = t.ok.RecordValue(int64(o.took))
	case o.code == result.TimedOut:
		t.late++
	case o.code.Info().NotRun && o.code != 0:
		_ = t.refused.RecordValue(int64(o.took))
	default:
		t.broken++
	}
}

// closed sends as fast as the answers come, with a number of requests at once.
func closed(c *client, url string, q request, at int, d time.Duration) (*tally, float64) {
	t := newTally()
	start := time.Now()
	end := start.Add(d)
	var wg sync.WaitGroup
	for range at {
		wg.Go(func() {
			for time.Now().Before(end) {
				t.add(c.get(url, q), q.timeout)
			}
		})
	}
	wg.Wait()
	return t, float64(t.ok.TotalCount()) / time.Since(start).Seconds()
}

// paced sends at a fixed rate over a number of senders. A sender that is late
// goes on at once, so that no request is left out.
func paced(c *client, url string, q request, rate float64, senders int, d time.Duration) *tally {
	t := newTally()
	start := time.Now()
	step := time.Duration(float64(senders) / rate * float64(time.Second))
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			next := start.Add(step * time.Duration(i) / time.Duration(senders))
			for next.Sub(start) < d {
				time.Sleep(time.Until(next))
				t.add(c.get(url, q), q.timeout)
				next = next.Add(step)
			}
		})
	}
	wg.Wait()
	return t
}

// open sends at a fixed rate whether or not answers come, with at most most
// requests at once.
func open(c *client, url string, q request, rate float64, most int, d time.Duration) *tally {
	t := newTally()
	slots := make(chan struct{}, most)
	var wg sync.WaitGroup
	const tick = 2 * time.Millisecond
	start := time.Now()
	sent := 0
	for now := time.Duration(0); now < d; now = time.Since(start) {
		for due := int(rate * now.Seconds()); sent < due; sent++ {
			select {
			case slots <- struct{}{}:
			default:
				continue
			}
			wg.Go(func() {
				t.add(c.get(url, q), q.timeout)
				<-slots
			})
		}
		time.Sleep(tick)
	}
	wg.Wait()
	return t
}

func at(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile))
}
