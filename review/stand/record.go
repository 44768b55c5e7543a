package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that lists what was sent, answered and run.
type Record struct {
	started time.Time

	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	limited map[string]int
	broken  []string
}

// limitedLines bounds the lines of one kind of a frequent event.
const limitedLines = 20

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: f, out: bufio.NewWriter(f), limited: map[string]int{}}, nil
}

// Event writes a line. Times are seconds from the start.
func (r *Record) Event(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(who, format, args...)
}

func (r *Record) line(who, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %-12s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// Limited writes a line unless limitedLines of that kind were written.
func (r *Record) Limited(kind, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limited[kind]++
	if r.limited[kind] <= limitedLines {
		r.line(who, format, args...)
	}
}

// Broken writes that a rule was broken.
func (r *Record) Broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, rule)
	if len(r.broken) <= limitedLines {
		r.line("BROKEN", "%s: %s", rule, fmt.Sprintf(format, args...))
	}
}

// Close writes the totals and closes the file. It returns how often a rule was broken.
func (r *Record) Close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, n := range r.limited {
		r.line("total", "%s: %d", kind, n)
	}
	r.line("total", "rules broken: %d", len(r.broken))
	_ = r.out.Flush()
	_ = r.file.Close()
	return len(r.broken)
}
