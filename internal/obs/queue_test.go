package obs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func TestQueueNeverBlocks(t *testing.T) {
	blocked := &blockedWriter{open: make(chan struct{})}
	queue := NewLogQueue(blocked)
	for range 3 * maxQueuedLines {
		if _, err := queue.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if n := queue.Dropped(); n < maxQueuedLines || n > 2*maxQueuedLines {
		t.Errorf("%d lines dropped, want about %d", n, 2*maxQueuedLines)
	}
	close(blocked.open)
	queue.Close()
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	if got := strings.Count(blocked.buf.String(), "line\n"); got < maxQueuedLines {
		t.Errorf("%d lines written, want at least the %d that the queue holds", got, maxQueuedLines)
	}
	if !strings.Contains(blocked.buf.String(), "lines dropped") {
		t.Error("no log entry about the dropped lines")
	}
}
