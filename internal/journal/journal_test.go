package journal

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

func open(t *testing.T, f *fakeTables, owner string, opt Options) (*Log, *Replay) {
	t.Helper()
	l, r, err := Open(t.Context(), f, f, "z/1", owner, opt)
	if err != nil {
		t.Fatalf("Open(%s) = %v", owner, err)
	}
	t.Cleanup(l.Close)
	return l, r
}

func recs(ss ...string) [][]byte {
	out := make([][]byte, len(ss))
	for i, s := range ss {
		out[i] = []byte(s)
	}
	return out
}

// content returns the records that a new owner reads.
func content(t *testing.T, f *fakeTables) string {
	t.Helper()
	o, err := Peek(t.Context(), f, "z/1")
	if err != nil {
		t.Fatal(err)
	}
	r, err := load(t.Context(), f, f, "z/1", o)
	if err != nil {
		t.Fatalf("load = %v", err)
	}
	parts := []string{string(r.Snapshot)}
	for _, b := range r.Records {
		parts = append(parts, string(b))
	}
	return strings.Join(parts, " ")
}

func TestAppendUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
	}{
		{"no fault", nil},
		{"down once", []fault{down}},
		{"limited twice", []fault{limited, limited}},
		{"answer lost, applied", []fault{lost}},
		{"answer lost, not applied", []fault{dropped}},
		{"answer lost, then down, then applied", []fault{dropped, down, none}},
		{"answer lost, read down", []fault{lost, readDown}},
		{"delayed", []fault{delayed}},
		{"lost again and again", []fault{dropped, dropped, lost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				l, _ := open(t, f, "a", Options{})
				f.faults = tt.faults
				for _, s := range []string{"x", "y"} {
					if _, err := l.Append(t.Context(), recs(s), nil); err != nil {
						t.Fatalf("Append = %v", err)
					}
				}
				f.release()
				if got := content(t, f); got != " x y" {
					t.Errorf("content = %q, want both records once", got)
				}
			})
		})
	}
}

func TestOpenUnderLostAnswers(t *testing.T) {
	for _, fs := range [][]fault{{lost}, {dropped}, {dropped, lost}, {delayed}} {
		t.Run(fmt.Sprint(fs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				f.faults = fs
				l, _ := open(t, f, "a", Options{})
				f.release()
				if _, err := l.Append(t.Context(), recs("x"), nil); err != nil {
					t.Fatalf("Append = %v", err)
				}
				if l.Epoch() != 1 {
					t.Errorf("epoch = %d, want 1", l.Epoch())
				}
			})
		})
	}
}

// TestPausedOwnerWakesAfterTrim is the case that an insert-if-absent alone does
// not fence: the sequence that the paused owner uses was trimmed.
func TestPausedOwnerWakesAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		a, _ := open(t, f, "a", Options{})
		b, _ := open(t, f, "b", Options{})
		seq, err := b.Append(t.Context(), recs("b1"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Snapshot(t.Context(), seq, []byte("s1")); err != nil {
			t.Fatal(err)
		}
		_, err = a.Append(t.Context(), recs("a1"), nil)
		if result.Of(err) != result.Deposed {
			t.Errorf("append of the old owner = %v, want deposed", err)
		}
		<-a.Deposed()
		if got := content(t, f); got != "s1" {
			t.Errorf("content = %q, want the snapshot only", got)
		}
	})
}

// TestDelayedCommitAfterTakeover delivers an old owner's commit after the
// takeover; it must have no effect.
func TestDelayedCommitAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		a, _ := open(t, f, "a", Options{})
		f.faults = []fault{delayed}
		e := a.Queue(recs("late"), nil)
		synctest.Wait()
		open(t, f, "b", Options{})
		f.release()
		<-e.Done()
		if _, err := e.Result(); result.Of(err) != result.Deposed {
			t.Errorf("result = %v, want deposed", err)
		}
		if got := content(t, f); got != "" {
			t.Errorf("content = %q, want nothing", got)
		}
	})
}

// TestDeposedAfterEffect: the commit took effect, its answer was lost, and the
// new owner trimmed it. Its fate cannot be told from the row.
func TestDeposedAfterEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		a, _ := open(t, f, "a", Options{})
		f.faults = []fault{lost, readDown}
		e := a.Queue(recs("x"), nil)
		synctest.Wait()
		b, r := open(t, f, "b", Options{})
		if len(r.Records) != 1 {
			t.Fatalf("records = %q, want x", r.Records)
		}
		if err := b.Snapshot(t.Context(), r.Last, []byte("s")); err != nil {
			t.Fatal(err)
		}
		<-e.Done()
		if _, err := e.Result(); result.Of(err) != result.PlatformUnknown {
			t.Errorf("result = %v, want unknown", err)
		}
		<-a.Deposed()
	})
}

func TestExtraWrites(t *testing.T) {
	key := contract.Key{Table: "inbox", Row: "1"}
	absent := []contract.Write{{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: []byte("v")}}
	tests := []struct {
		name   string
		faults []fault
	}{
		{"plain", nil},
		{"delayed, then the condition fails", []fault{delayed, none}},
		{"not applied, then the condition fails", []fault{dropped, none}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				l, _ := open(t, f, "a", Options{Window: time.Second})
				if _, err := f.apply(absent); err != nil {
					t.Fatal(err)
				}
				f.faults = tt.faults
				bad, good := l.Queue(recs("bad"), absent), l.Queue(recs("good"), nil)
				<-bad.Done()
				<-good.Done()
				if _, err := bad.Result(); !contract.IsConflict(err) {
					t.Errorf("bad = %v, want conflict", err)
				}
				if _, err := good.Result(); err != nil {
					t.Errorf("good = %v", err)
				}
				_, _ = f.apply([]contract.Write{{Key: key, If: contract.Always, Do: contract.Delete}})
				f.release()
				if got := content(t, f); got != " good" {
					t.Errorf("content = %q, want good only", got)
				}
			})
		})
	}
}

// TestConflictEndsAway: an owner decides nothing while the tables are away, so that no
// commit may follow the one that is answered with a conflict.
func TestConflictEndsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		l, _ := open(t, f, "a", Options{})
		absent := []contract.Write{{Key: contract.Key{Table: "quota", Row: "x"}, If: contract.IfAbsent, Do: contract.Put}}
		if _, err := f.apply(absent); err != nil {
			t.Fatal(err)
		}
		f.faults = []fault{dropped, down}
		e := l.Queue(recs("draw"), absent)
		<-e.Done()
		if _, err := e.Result(); !contract.IsConflict(err) {
			t.Fatalf("result %v, want a conflict", err)
		}
		synctest.Wait()
		if a := l.Away(); a != nil {
			t.Errorf("away since %v: %v", a.Since, a.Err)
		}
	})
}

func TestAppendGivesUp(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
		want   result.Code
	}{
		{"refused throughout", []fault{down, down, down, down, down, down, down, down}, result.JournalAway},
		{"answer lost first", []fault{dropped, down, down, down, down, down, down}, result.PlatformUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				l, _ := open(t, f, "a", Options{})
				f.faults = tt.faults
				ctx, cancel := context.WithTimeout(t.Context(), 520*time.Millisecond)
				defer cancel()
				_, err := l.Append(ctx, recs("x"), nil)
				if result.Of(err) != tt.want {
					t.Errorf("Append = %v, want %v", err, tt.want)
				}
				if l.Away() == nil {
					t.Error("Away = nil, want the failure")
				}
				time.Sleep(time.Minute)
				got := content(t, f)
				if tt.want == result.JournalAway && got != "" {
					t.Errorf("content = %q after a withdrawn append", got)
				}
			})
		})
	}
}

func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		l, _ := open(t, f, "a", Options{Window: 250 * time.Millisecond})
		start := time.Now()
		for i := range 750 {
			l.Queue(recs(fmt.Sprint(i)), nil)
			time.Sleep(time.Second / 750)
		}
		last := l.Queue(recs("last"), nil)
		<-last.Done()
		if d := time.Since(start); d > 1500*time.Millisecond {
			t.Errorf("took %v, want at most 1.5 s", d)
		}
		if n := l.Commits(); n > 7 {
			t.Errorf("%d commits in a second, want at most 7", n)
		}
	})
}

func TestReleaseAndRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		a, _ := open(t, f, "a", Options{})
		if err := a.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		o, err := Peek(t.Context(), f, "z/1")
		if err != nil || o.Instance != "" || o.Epoch != 1 {
			t.Fatalf("owner = %+v, %v, want released in epoch 1", o, err)
		}
		once := true
		f.hook = func() {
			if once {
				once = false
				open(t, f, "c", Options{})
			}
		}
		_, _, err = Open(t.Context(), f, f, "z/1", "b", Options{})
		if result.Of(err) != result.Deposed {
			t.Errorf("Open of the loser = %v, want deposed", err)
		}
	})
}
