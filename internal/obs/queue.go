package obs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the log lines that wait for a slow output, about 1 MB.
	maxQueuedLines = 4096
	// flushTimeout bounds how long Close waits for queued lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// LogQueue is a writer that never blocks, so that a slow log output cannot stop the
// process: lines wait in a bounded queue until a goroutine writes them, and lines
// that do not fit are dropped and counted.
type LogQueue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// NewLogQueue returns a queue whose lines are written to w.
func NewLogQueue(w io.Writer) *LogQueue {
	q := &LogQueue{w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), stop: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer; one call is one line.
func (q *LogQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *LogQueue) Dropped() int64 { return q.dropped.Load() }

// run writes the queued lines. Before the first line after lines were dropped it
// writes a log entry with their number.
func (q *LogQueue) run() {
	defer close(q.done)
	reported := int64(0)
	for {
		select {
		case line := <-q.lines:
			if n := q.dropped.Load(); n > reported {
				_, _ = fmt.Fprintf(q.w, `{"level":"warn","message":"log: lines dropped","fields":{"dropped":%d}}`+"\n", n-reported)
				reported = n
			}
			_, _ = q.w.Write(line) // a failed log output cannot be reported anywhere
		case <-q.stop:
			if len(q.lines) == 0 {
				return
			}
		}
	}
}

// Close waits up to flushTimeout until the queued lines are written.
func (q *LogQueue) Close() {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
