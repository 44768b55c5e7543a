package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// Log is a log that this process owns until it is deposed. Its methods are safe
// for concurrent use.
type Log struct {
	tables  contract.Tables
	objects contract.Objects
	name    string
	opt     Options
	epoch   uint64

	mu     sync.Mutex
	queue  []*Entry
	closed bool

	wake    chan struct{}
	tasks   chan task
	stop    context.CancelFunc
	ctx     context.Context
	done    chan struct{}
	deposed chan struct{}
	away    atomic.Pointer[Away]
	commits atomic.Uint64

	// Owned by the goroutine of run.
	owner   Owner
	version uint64
	next    uint64
	started time.Time // of the newest commit
}

// Away says since when and why commits fail.
type Away struct {
	Since time.Time
	Err   error
}

// Entry is an append that was queued.
type Entry struct {
	records [][]byte
	extra   []contract.Write
	bytes   int
	sent    bool // guarded by Log.mu
	done    chan struct{}
	seq     uint64
	err     error
}

// task runs between two commits.
type task struct {
	do   func(ctx context.Context) error
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
		wake: make(chan struct{}, 1), tasks: make(chan task),
		ctx: ctx, stop: stop,
		done: make(chan struct{}), deposed: make(chan struct{}),
	}
}

// Name returns the log's name.
func (l *Log) Name() string { return l.name }

// Epoch returns the epoch of this ownership.
func (l *Log) Epoch() uint64 { return l.epoch }

// Deposed returns a channel that is closed when another owner was found.
func (l *Log) Deposed() <-chan struct{} { return l.deposed }

// Away returns since when commits fail, or nil.
func (l *Log) Away() *Away { return l.away.Load() }

// Commits returns the number of commits that took effect.
func (l *Log) Commits() uint64 { return l.commits.Load() }

// Queue adds records, and extra writes that take effect in the same
// transaction, to a coming commit. Entries commit in the order of their queuing
// and each is whole in one commit. Await their end with Entry.Done.
func (l *Log) Queue(records [][]byte, extra []contract.Write) *Entry {
	e := &Entry{records: records, extra: extra, done: make(chan struct{})}
	for _, r := range records {
		e.bytes += len(r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		e.finish(0, l.endError())
		return e
	}
	l.queue = append(l.queue, e)
	signal(l.wake)
	return e
}

// Append queues records and waits for their commit. It returns the sequence of
// the commit. Its errors:
//   - result.Deposed: another instance owns the log, nothing was written;
//   - result.JournalAway: ctx ended before the write was sent, nothing was
//     written and nothing will be;
//   - result.PlatformConflict: the condition of an extra write does not hold,
//     nothing was written;
//   - result.PlatformUnknown: the records may be written now or later.
func (l *Log) Append(ctx context.Context, records [][]byte, extra []contract.Write) (uint64, error) {
	e := l.Queue(records, extra)
	select {
	case <-e.done:
		return e.seq, e.err
	case <-ctx.Done():
	}
	if l.withdraw(e) {
		return 0, result.Wrap(result.JournalAway, ctx.Err(), "append to "+l.name)
	}
	select {
	case <-e.done:
		return e.seq, e.err
	default:
		return 0, result.Wrap(result.PlatformUnknown, ctx.Err(), "append to "+l.name)
	}
}

// Done returns a channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Result returns the sequence of the commit or the errors of Append. It is
// called after Done is closed.
func (e *Entry) Result() (uint64, error) { return e.seq, e.err }

// withdraw removes an entry that is in no commit on its way.
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

// between runs do between two commits.
func (l *Log) between(ctx context.Context, do func(ctx context.Context) error) error {
	t := task{do: do, done: make(chan error, 1)}
	select {
	case l.tasks <- t:
	case <-l.done:
		return l.endError()
	case <-ctx.Done():
		return result.Wrap(result.JournalAway, ctx.Err(), l.name)
	}
	select {
	case err := <-t.done:
		return err
	case <-l.done:
		return l.endError()
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnknown, ctx.Err(), l.name)
	}
}

// Release gives the ownership up, so that another instance takes over at once,
// and closes the log. Entries still queued end with result.JournalAway.
func (l *Log) Release(ctx context.Context) error {
	err := l.between(ctx, func(context.Context) error {
		o := l.owner
		o.Instance = ""
		return l.writeOwner(ctx, o)
	})
	l.Close()
	return err
}

// Close ends the log without giving up the ownership. A commit on its way may
// still take effect; its entries end with result.PlatformUnknown.
func (l *Log) Close() {
	l.stop()
	<-l.done
}

func (l *Log) endError() error {
	select {
	case <-l.deposed:
		return result.Errorf(result.Deposed, "%s", l.name)
	default:
		return result.Errorf(result.JournalAway, "%s is closed", l.name)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
