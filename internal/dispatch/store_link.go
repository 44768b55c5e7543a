package dispatch

import (
	"context"
	"sync"
	"time"

	"skylarkport/internal/contract/fleet"
)

const (
	// pageTime is how long a page may keep the link busy.
	pageTime = 250 * time.Millisecond
	// pageRows and pageBytes are the most that the store returns in a page.
	pageRows, pageBytes = 500, 1 << 20
	// minPageRows is the least number of rows that are asked for, so that the calls stay few.
	minPageRows = 8
	// assumedRowBytes is the size of a row on the wire before any row of the table was read.
	assumedRowBytes = 2 << 10
	// rateSample is the least size of a page whose time shows the link's rate: a smaller one
	// shows the store's latency.
	rateSample = 16 << 10
	// failedRate is the rate assumed after the first read that was given up, in bytes per second.
	failedRate = 256 << 10
	// maxPageTimeout bounds the wait for a page on a link that is full of other traffic.
	maxPageTimeout = 4 * time.Second
	// minBatchBytes is the least bound of a commit's rows, so that the commits stay few.
	minBatchBytes = 16 << 10
	// maxLinkCommitTimeout bounds the wait for a commit on a thin link.
	maxLinkCommitTimeout = 2 * commitTimeout
	// maxReadRetry bounds the pause after failed reads.
	maxReadRetry = 600 * time.Millisecond
)

// StoreLink is what an instance knows of its link to the store, from its settings and its reads of many
// rows. It is shared by the instance's shards. It answers the load of a new owner that reads hundreds of
// jobs over a link of a few megabits per second: a whole page is given up before it has arrived, and
// what is left of it delays the next one. The same holds for commits of many jobs.
type StoreLink struct {
	size float64 // of the link by the settings in bytes per second, 0 if unknown
	turn chan struct{}

	mu   sync.Mutex
	rate float64 // that reads have shown in bytes per second, 0 if unknown
}

// NewStoreLink returns the knowledge of a link of the given size in megabits per second, 0 if
// unknown.
func NewStoreLink(mbps float64) *StoreLink {
	size := mbps * 1e6 / 8
	return &StoreLink{size: size, rate: size, turn: make(chan struct{}, 1)}
}

// thin reports whether a whole page takes longer than pageTime.
func (l *StoreLink) thin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return isThin(l.rate)
}

func isThin(rate float64) bool { return rate > 0 && rate*pageTime.Seconds() < pageBytes }

// limit returns how many rows of the given size on the wire to ask for; 0 stands for a whole page.
func (l *StoreLink) limit(rowBytes float64) int {
	if !l.thin() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := max(minPageRows, int(l.rate*pageTime.Seconds()/rowBytes)); n < pageRows {
		return n
	}
	return 0
}

// batchBytes bounds the size of the rows of a commit: it is to take no longer than a page. A larger one
// is given up before it has arrived over a thin link, and leases, starts and answers wait for it. What
// reads have shown does not count, as a store that is away looks like a thin link to them.
func (l *StoreLink) batchBytes() int {
	if !isThin(l.size) {
		return maxBatchBytes
	}
	return min(maxBatchBytes, max(minBatchBytes, int(l.size*pageTime.Seconds()*3/4))) // in base64
}

// commitTimeout returns how long to wait for an answer to an attempt of a commit, counted from 0. What
// was given up on a thin link still takes its time there, so the next attempt waits longer.
func (l *StoreLink) commitTimeout(attempt int) time.Duration {
	if !isThin(l.size) {
		return commitTimeout
	}
	return min(maxLinkCommitTimeout, commitTimeout<<min(attempt, 1))
}

// arrived records that a page of that many bytes on the wire took d.
func (l *StoreLink) arrived(bytes int, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 || bytes < rateSample || d <= 0 {
		return
	}
	l.rate = (l.rate + float64(bytes)/d.Seconds()) / 2
}

// gaveUp records that a page did not arrive in time. It asks for less from then on.
func (l *StoreLink) gaveUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		l.rate = 2 * failedRate
	}
	l.rate = max(l.rate/2, minPageRows*assumedRowBytes/pageTime.Seconds())
}

// acquire waits on a thin link until no other shard of the instance is loading: one that has its
// rows plans, two that share the link both wait. The caller calls the returned function when it is
// done.
func (l *StoreLink) acquire(ctx context.Context) (release func(), err error) {
	if !l.thin() {
		return func() {}, nil
	}
	select {
	case l.turn <- struct{}{}:
		return func() { <-l.turn }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// wireBytes estimates the size of a row in the store's response.
func wireBytes(r fleet.Row) int {
	const names = 60 // of the fields, and the version
	return len(r.Value)*4/3 + len(r.Table) + len(r.Part) + len(r.Key) + names
}

// pageReader asks for the pages of one range, sized by the link and the rows seen so far.
type pageReader struct {
	link     *StoreLink
	rows     int
	bytes    int
	failures int // since the last page
}

// next returns the number of rows to ask for, 0 for a whole page, and how long to wait for them.
func (p *pageReader) next() (limit int, timeout time.Duration) {
	rowBytes := float64(assumedRowBytes)
	if p.rows > 0 {
		rowBytes = max(1, float64(p.bytes)/float64(p.rows))
	}
	limit = p.link.limit(rowBytes)
	if limit == 0 {
		return 0, readTimeout
	}
	return limit, min(maxPageTimeout, readTimeout<<min(p.failures, 3))
}

// arrived records a page that took d.
func (p *pageReader) arrived(rows []fleet.Row, d time.Duration) {
	size := 0
	for _, r := range rows {
		size += wireBytes(r)
	}
	p.failures = 0
	p.rows, p.bytes = p.rows+len(rows), p.bytes+size
	p.link.arrived(size, d)
}

// failed records a failed read and returns the pause before the next. timedOut says that it
// was given up without a response.
func (p *pageReader) failed(timedOut bool) time.Duration {
	if timedOut {
		p.failures++
		p.link.gaveUp()
	}
	if p.failures < 2 {
		return readRetry
	}
	return min(maxReadRetry, readRetry<<(p.failures-1))
}
