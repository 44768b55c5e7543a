package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Log is an append-only log that this process owns until another instance takes
// it over. Its methods are safe for concurrent use.
type Log struct {
	tables  contract.Tables
	objects contract.Objects
	name    string
	opt     Options
	epoch   uint64

	mu     sync.Mutex
	queue  []*Entry
	closed bool

	wake          chan struct{}
	operations    chan operation
	cancel        context.CancelFunc
	ctx           context.Context
	done          chan struct{}
	ownershipLost chan struct{}
	outage        atomic.Pointer[Outage]
	commits       atomic.Uint64

	// Accessed only by the goroutine of run.
	owner           Owner
	ownerVersion    uint64
	nextSeq         uint64
	lastCommitStart time.Time // start of the newest commit
}

// Outage describes why commits fail and since when.
type Outage struct {
	Since time.Time
	Err   error
}

// Entry is a queued append. Its records are committed together.
type Entry struct {
	records [][]byte
	extra   []contract.Write
	bytes   int
	sent    bool // part of a commit; guarded by Log.mu
	done    chan struct{}
	seq     uint64
	err     error
}

// operation is a function that run executes between two commits, so that it may
// access the fields of run.
type operation struct {
	run  func(ctx context.Context) error
	done chan error
}

func newLog(tables contract.Tables, objects contract.Objects, name string, opt Options) *Log {
	if opt.MaxRecords == 0 {
		opt.MaxRecords = DefaultMaxRecords
	}
	if opt.MaxBytes == 0 {
		opt.MaxBytes = DefaultMaxBytes
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Log{
		tables: tables, objects: objects, name: name, opt: opt,
		wake: make(chan struct{}, 1), operations: make(chan operation),
		ctx: ctx, cancel: stop,
		done: make(chan struct{}), ownershipLost: make(chan struct{}),
	}
}

// Name returns the log's name.
func (l *Log) Name() string { return l.name }

// Epoch returns the epoch of this ownership. Every takeover increments it.
func (l *Log) Epoch() uint64 { return l.epoch }

// OwnershipLost returns a channel that is closed when another instance is found to own
// the log.
func (l *Log) OwnershipLost() <-chan struct{} { return l.ownershipLost }

// Outage returns why commits fail and since when, or nil while they succeed.
func (l *Log) Outage() *Outage { return l.outage.Load() }

// Commits returns the number of commits that took effect.
func (l *Log) Commits() uint64 { return l.commits.Load() }

// Queue adds records to a later commit, and extra writes that take effect in the
// same transaction. Entries are committed in the order in which they were queued,
// and an entry is never split between commits. Wait for its end with Entry.Done.
func (l *Log) Queue(records [][]byte, extra []contract.Write) *Entry {
	e := &Entry{records: records, extra: extra, done: make(chan struct{})}
	for _, r := range records {
		e.bytes += len(r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		e.finish(0, l.closedError())
		return e
	}
	l.queue = append(l.queue, e)
	signal(l.wake)
	return e
}

// Append queues records and waits for their commit. It returns the sequence
// number of the commit. Its errors:
//   - result.OwnershipLost: another instance owns the log, nothing was written;
//   - result.JournalUnavailable: ctx ended before the write was sent, nothing was
//     written and nothing will be;
//   - result.PlatformConflict: the condition of an extra write does not hold,
//     nothing was written;
//   - result.PlatformUnknown: the records may have been written, or may still
//     be.
func (l *Log) Append(ctx context.Context, records [][]byte, extra []contract.Write) (uint64, error) {
	e := l.Queue(records, extra)
	select {
	case <-e.done:
		return e.seq, e.err
	case <-ctx.Done():
	}
	if l.withdraw(e) {
		return 0, result.Wrap(result.JournalUnavailable, ctx.Err(), "append to "+l.name)
	}
	select {
	case <-e.done:
		return e.seq, e.err
	default:
		return 0, result.Wrap(result.PlatformUnknown, ctx.Err(), "append to "+l.name)
	}
}

// Done returns a channel that is closed when the entry is committed or has failed.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Result returns the sequence number of the commit or an error as Append does. It
// must be called only after the channel of Done is closed.
func (e *Entry) Result() (uint64, error) { return e.seq, e.err }

// withdraw removes e from the queue. It returns false when e is part of a commit or
// has ended.
func (l *Log) withdraw(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.sent {
		return false
	}
	for i, q := range l.queue {
		if q == e {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (e *Entry) finish(seq uint64, err error) {
	e.seq, e.err = seq, err
	close(e.done)
}

// runBetweenCommits executes do on the goroutine of run, between two commits, and
// waits for it. result.PlatformUnknown means that do may have run or may still be
// running.
func (l *Log) runBetweenCommits(ctx context.Context, do func(ctx context.Context) error) error {
	op := operation{run: do, done: make(chan error, 1)}
	select {
	case l.operations <- op:
	case <-l.done:
		return l.closedError()
	case <-ctx.Done():
		return result.Wrap(result.JournalUnavailable, ctx.Err(), l.name)
	}
	select {
	case err := <-op.done:
		return err
	case <-l.done:
		return l.closedError()
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnknown, ctx.Err(), l.name)
	}
}

// Release clears the instance in the owner row, so that another instance can take
// over at once, and closes the log. Entries still queued end with
// result.JournalUnavailable.
func (l *Log) Release(ctx context.Context) error {
	err := l.runBetweenCommits(ctx, func(context.Context) error {
		o := l.owner
		o.Instance = ""
		return l.writeOwner(ctx, o)
	})
	l.Close()
	return err
}

// Close closes the log and leaves the owner row as it is. A commit that is being
// sent may still take effect; its entries then end with result.PlatformUnknown.
func (l *Log) Close() {
	l.cancel()
	<-l.done
}

// closedError returns the error of an append after the log has ended.
func (l *Log) closedError() error {
	select {
	case <-l.ownershipLost:
		return result.Errorf(result.OwnershipLost, "log %s is owned by another instance", l.name)
	default:
		return result.Errorf(result.JournalUnavailable, "log %s is closed", l.name)
	}
}

// signal wakes the receiver of c, a channel with a buffer of one, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
