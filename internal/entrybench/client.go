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

// client sends requests to the entry, or directly to the upstream for comparison.
type client struct {
	http *http.Client
	ids  atomic.Int64
}

// newClient returns a client that keeps up to conns idle connections. If dial is
// nil, it connects over TCP.
func newClient(conns int, dial forward.Dialer) *client {
	t := &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true, DialContext: dial}
	return &client{http: &http.Client{Transport: t}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// request holds the properties of a caller's request.
type request struct {
	organisation string
	class        job.Class
	timeout      time.Duration
}

// outcome is the result of a request as its caller observed it. The code is zero if
// the connection broke.
type outcome struct {
	code    result.Code
	latency time.Duration
}

// get sends a GET request and reads the whole response.
func (c *client) get(url string, q request) outcome {
	start := time.Now()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return outcome{}
	}
	req.Header[contract.HeaderRequestID] = []string{strconv.FormatInt(c.ids.Add(1), 10)}
	req.Header[forward.HeaderOrganisation] = []string{q.organisation}
	if q.class != "" {
		req.Header[forward.HeaderClass] = []string{string(q.class)}
	}
	if q.timeout > 0 {
		req.Header[forward.HeaderTimeout] = []string{strconv.FormatInt(q.timeout.Milliseconds(), 10)}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{latency: time.Since(start)}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return outcome{latency: time.Since(start)}
	}
	code := result.OK
	if v := resp.Header.Get(forward.HeaderResult); v != "" {
		n, _ := strconv.Atoi(v)
		code = result.Code(n)
	}
	return outcome{code, time.Since(start)}
}

// Range, in nanoseconds, and precision of the histograms.
const (
	maxHistogramValue = int64(time.Minute)
	histogramDigits   = 3
)

// outcomeCounts counts outcomes and records their latencies.
type outcomeCounts struct {
	mu      sync.Mutex
	ok      *hdrhistogram.Histogram // nanoseconds
	refused *hdrhistogram.Histogram
	late    int64 // answered after their timeout, or ended with result.TimedOut
	broken  int64 // connection broken, or any other result code
	sent    int64
}

func newOutcomeCounts() *outcomeCounts {
	return &outcomeCounts{
		ok:      hdrhistogram.New(1, maxHistogramValue, histogramDigits),
		refused: hdrhistogram.New(1, maxHistogramValue, histogramDigits),
	}
}

func (counts *outcomeCounts) add(o outcome, timeout time.Duration) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.sent++
	switch {
	case o.code == result.OK && timeout > 0 && o.latency > timeout:
		counts.late++
	case o.code == result.OK:
		_ = counts.ok.RecordValue(int64(o.latency))
	case o.code == result.TimedOut:
		counts.late++
	case o.code.Info().NotRun && o.code != 0:
		_ = counts.refused.RecordValue(int64(o.latency))
	default:
		counts.broken++
	}
}

// closedLoop generates closed-loop load: each of a number of senders sends its
// next request as soon as it has a response. It also returns the successful
// requests per second.
func closedLoop(c *client, url string, q request, concurrency int, d time.Duration) (*outcomeCounts, float64) {
	counts := newOutcomeCounts()
	start := time.Now()
	end := start.Add(d)
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for time.Now().Before(end) {
				counts.add(c.get(url, q), q.timeout)
			}
		})
	}
	wg.Wait()
	return counts, float64(counts.ok.TotalCount()) / time.Since(start).Seconds()
}

// fixedRate sends at a fixed rate, divided among a number of senders. A sender
// that is behind schedule sends its next request at once, so that no request is
// skipped.
func fixedRate(c *client, url string, q request, rate float64, senders int, d time.Duration) *outcomeCounts {
	counts := newOutcomeCounts()
	start := time.Now()
	step := time.Duration(float64(senders) / rate * float64(time.Second))
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			next := start.Add(step * time.Duration(i) / time.Duration(senders))
			for next.Sub(start) < d {
				time.Sleep(time.Until(next))
				counts.add(c.get(url, q), q.timeout)
				next = next.Add(step)
			}
		})
	}
	wg.Wait()
	return counts
}

// openLoop generates open-loop load: it sends at a fixed rate, whether or not
// responses arrive, and skips requests while the maximum number is in flight.
func openLoop(c *client, url string, q request, rate float64, limit int, d time.Duration) *outcomeCounts {
	counts := newOutcomeCounts()
	slots := make(chan struct{}, limit)
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
				counts.add(c.get(url, q), q.timeout)
				<-slots
			})
		}
		time.Sleep(tick)
	}
	wg.Wait()
	return counts
}

// latencyAt returns the latency at a percentile.
func latencyAt(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percentile))
}
