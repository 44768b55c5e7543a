package obs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// gate is a reader that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func TestQueueNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	q := NewQueue(g)
	for range 3 * queueLines {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if n := q.Dropped(); n < queueLines || n > 2*queueLines {
		t.Errorf("%d lines dropped, want about %d", n, 2*queueLines)
	}
	close(g.open)
	q.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if got := strings.Count(g.buf.String(), "line\n"); got < queueLines {
		t.Errorf("%d lines written, want the queue's %d", got, queueLines)
	}
	if !strings.Contains(g.buf.String(), "lines dropped") {
		t.Error("the missing lines are not told")
	}
}
