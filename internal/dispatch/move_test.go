package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/workload"
)

// otherShard takes every waiting job and records what it is told.
type otherShard struct {
	mu        sync.Mutex
	jobs      []string
	cancelled []string
	failures  int // of the next calls of Cancel
	forgotten bool
	takesNew  bool
}

func (o *otherShard) Better(_ *workload.Spec, isNew bool) (string, bool) {
	return "other", !isNew || o.takesNew
}

func (o *otherShard) Deliver(_ context.Context, _ string, a workload.Accepted) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs = append(o.jobs, a.Spec.ID)
	return nil
}

func (o *otherShard) Cancel(_ context.Context, _, id string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Contains(o.jobs, id) {
		return errors.New("unknown job")
	}
	if o.failures > 0 {
		o.failures--
		return errors.New("no owner")
	}
	o.cancelled = append(o.cancelled, id)
	return nil
}

func (o *otherShard) Knows(context.Context, string, string) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.forgotten, nil
}

func (o *otherShard) Lessons(context.Context) (Lessons, error) {
	return Lessons{}, errors.New("nothing learned")
}

// got reports whether the job was delivered.
func (o *otherShard) got(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.jobs, id)
}

// heardOf reports whether the job was cancelled.
func (o *otherShard) heardOf(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Contains(o.cancelled, id)
}

// inboxRows counts the rows of the shard's inbox.
func (w *world) inboxRows() int {
	w.t.Helper()
	p, err := w.store.Range(w.ctx, TableInbox, "s", "", "")
	if err != nil {
		w.t.Fatal(err)
	}
	return len(p.Rows)
}

// moveOne runs f in a world without room, whose only job has moved to other.
func moveOne(t *testing.T, other *otherShard, f func(w *world)) {
	inWorld(t, 1, func(w *world) {
		w.others = other
		w.end()
		w.takeOver()
		w.settle()
		spec := steps("a", "batch", 1)
		spec.Steps[0].Needs.MilliCPU = 9000 // no worker here holds it
		w.submit(spec)
		time.Sleep(time.Second)
		if !other.got("a") {
			t.Fatal("the job did not move")
		}
		f(w)
	})
}

// TestNewJobGoesToALessLoadedShard: the caller's answer means that the job is stored,
// and no run of it begins at its home.
func TestNewJobGoesToALessLoadedShard(t *testing.T) {
	other := &otherShard{takesNew: true}
	inWorld(t, 1, func(w *world) {
		w.others = other
		w.end()
		w.takeOver()
		w.settle()
		w.submit(steps("a", "batch", 1))
		if p, err := w.store.Range(w.ctx, TableAccepted, "s", "", ""); err != nil || len(p.Rows) != 1 {
			t.Fatalf("%d accepted rows, %v", len(p.Rows), err)
		}
		time.Sleep(500 * time.Millisecond)
		w.submit(steps("a", "batch", 1)) // a caller's retry
		time.Sleep(time.Second)
		if n := w.workers.Starts(); n != 0 {
			t.Errorf("%d starts at the home", n)
		}
		other.mu.Lock()
		defer other.mu.Unlock()
		if !slices.Equal(other.jobs, []string{"a"}) {
			t.Errorf("delivered %v", other.jobs)
		}
	})
}

// TestCancellationIsPassedOn: a cancellation that was stored for the home of a moved
// job reaches the job's shard, also after a takeover in between.
func TestCancellationIsPassedOn(t *testing.T) {
	for name, between := range map[string]func(*world){
		"same owner": func(*world) {},
		"takeover":   func(w *world) { w.end(); w.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			other := &otherShard{failures: 5}
			moveOne(t, other, func(w *world) {
				_, err := w.store.Commit(w.ctx, fleet.Tx{Part: "s", Put: []fleet.Row{{Table: TableInbox, Key: InboxCancel + "a", Value: []byte("{}")}}})
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				if w.inboxRows() != 1 {
					t.Error("the row is gone before the other shard has the cancellation")
				}
				between(w)
				time.Sleep(4 * time.Second)
				if !other.heardOf("a") {
					t.Error("the cancellation was lost")
				}
				if n := w.inboxRows(); n != 0 {
					t.Errorf("%d rows stay in the inbox", n)
				}
			})
		})
	}
}

// TestMovedJobIsFoundAsLongAsItIsKnown: the home leads callers to a moved job until
// the other shard has forgotten it.
func TestMovedJobIsFoundAsLongAsItIsKnown(t *testing.T) {
	other := &otherShard{}
	moveOne(t, other, func(w *world) {
		lookUp := func() (*workload.Moved, error) {
			_, moved, err := w.shard().State(w.ctx, "a")
			return moved, err
		}
		time.Sleep(5 * time.Minute) // two minutes are kept after an end
		if m, err := lookUp(); err != nil || m == nil || m.Shard != "other" {
			t.Errorf("moved %v, %v", m, err)
		}
		other.mu.Lock()
		other.forgotten = true
		other.mu.Unlock()
		time.Sleep(5 * time.Minute)
		if m, err := lookUp(); err == nil {
			t.Errorf("moved %v after the job was forgotten", m)
		}
	})
}
