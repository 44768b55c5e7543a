package obs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the log lines that wait for a slow reader, about 1 MB.
	queueLines = 4096
	// flushWait bounds how long Close waits for the reader.
	flushWait = 300 * time.Millisecond
)

// Queue is a writer that never blocks: lines wait in a bounded queue for the
// reader behind it, and what does not fit is dropped and counted.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// NewQueue returns a queue in front of w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer; one call is one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// run writes the lines, and says how many are missing before the next one.
func (q *Queue) run() {
	defer close(q.done)
	told := int64(0)
	for {
		select {
		case line := <-q.lines:
			if n := q.dropped.Load(); n > told {
				_, _ = fmt.Fprintf(q.w, `{"level":"warn","message":"log: lines dropped","fields":{"dropped":%d}}`+"\n", n-told)
				told = n
			}
			_, _ = q.w.Write(line) // nobody is left to tell of a closed output
		case <-q.stop:
			if len(q.lines) == 0 {
				return
			}
		}
	}
}

// Close waits a little until what is queued has been written.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(flushWait):
	}
}
