package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkport/internal/result"
)

// Bounds and precision of the latency histogram.
const (
	minLatencyUS = 1
	maxLatencyUS = int64(60 * time.Second / time.Microsecond)
	digits       = 3
)

// maxFaults bounds how many wrong answers a report describes.
const maxFaults = 20

// Report is what came back. It is safe for concurrent use while Run works.
type Report struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of answers with result.OK, microseconds
	codes   map[result.Code]int
	cut     int // connections that broke before a whole answer
	faults  []string
	wrongs  int
}

func newReport() *Report {
	return &Report{
		latency: hdrhistogram.New(minLatencyUS, maxLatencyUS, digits),
		codes:   map[result.Code]int{},
	}
}

func (r *Report) count(c result.Code, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[c]++
	if c == result.OK {
		_ = r.latency.RecordValue(took.Microseconds())
	}
}

func (r *Report) broken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut++
}

func (r *Report) wrong(id, fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrongs++
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, id+": "+fault)
	}
}

// Wrong returns how many answers were not whole or not the request's own.
func (r *Report) Wrong() int { return r.wrongs }

// Cut returns how many connections broke before a whole answer.
func (r *Report) Cut() int { return r.cut }

// Count returns how many answers had the code.
func (r *Report) Count(c result.Code) int { return r.codes[c] }

// Print writes the report as text.
func (r *Report) Print(w io.Writer, label string) {
	q := func(p float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(p)) * time.Microsecond
	}
	fmt.Fprintf(w, "%s: %d answered, p50 %s, p99 %s, p99.9 %s, max %s; %d cut, %d wrong\n",
		label, r.latency.TotalCount(), q(50), q(99), q(99.9), q(100), r.cut, r.wrongs)
	for _, c := range r.sorted() {
		if c != result.OK {
			fmt.Fprintf(w, "  %d %s: %d\n", c, c, r.codes[c])
		}
	}
	for _, f := range r.faults {
		fmt.Fprintf(w, "  wrong: %s\n", f)
	}
}

func (r *Report) sorted() []result.Code {
	codes := make([]result.Code, 0, len(r.codes))
	for c := range r.codes {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
