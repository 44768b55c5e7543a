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

// Range and precision of the latency histogram.
const (
	minLatencyUS  = 1
	maxLatencyUS  = int64(60 * time.Second / time.Microsecond)
	latencyDigits = 3 // significant decimal digits
)

// maxDetails bounds how many wrong responses a report describes.
const maxDetails = 20

// Report counts the outcomes of the requests. The senders of Run update it
// concurrently; its exported methods must only be called after Run has returned.
type Report struct {
	mu                sync.Mutex
	latency           *hdrhistogram.Histogram // of responses with result.OK, microseconds
	codes             map[result.Code]int
	brokenConnections int // connections that broke before the response was complete
	details           []string
	wrongResponses    int
}

func newReport() *Report {
	return &Report{
		latency: hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits),
		codes:   map[result.Code]int{},
	}
}

func (r *Report) recordResponse(c result.Code, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes[c]++
	if c == result.OK {
		_ = r.latency.RecordValue(latency.Microseconds())
	}
}

func (r *Report) recordBrokenConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenConnections++
}

func (r *Report) recordWrongResponse(id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrongResponses++
	if len(r.details) < maxDetails {
		r.details = append(r.details, id+": "+detail)
	}
}

// WrongResponses returns how many responses were incomplete or belonged to
// another request.
func (r *Report) WrongResponses() int { return r.wrongResponses }

// BrokenConnections returns how many connections broke before the response was
// complete.
func (r *Report) BrokenConnections() int { return r.brokenConnections }

// Count returns how many responses had the code.
func (r *Report) Count(c result.Code) int { return r.codes[c] }

// Print writes the report as text.
func (r *Report) Print(w io.Writer, label string) {
	q := func(p float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(p)) * time.Microsecond
	}
	fmt.Fprintf(w, "%s: %d answered, p50 %s, p99 %s, p99.9 %s, max %s; %d cut, %d wrong\n",
		label, r.latency.TotalCount(), q(50), q(99), q(99.9), q(100), r.brokenConnections, r.wrongResponses)
	for _, c := range r.sortedCodes() {
		if c != result.OK {
			fmt.Fprintf(w, "  %d %s: %d\n", c, c, r.codes[c])
		}
	}
	for _, f := range r.details {
		fmt.Fprintf(w, "  wrong: %s\n", f)
	}
}

func (r *Report) sortedCodes() []result.Code {
	codes := make([]result.Code, 0, len(r.codes))
	for c := range r.codes {
		codes = append(codes, c)
	}
	sort.Slice(codes, func(i, j int) bool { return codes[i] < codes[j] })
	return codes
}
