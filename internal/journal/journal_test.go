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

func toRecords(ss ...string) [][]byte {
	out := make([][]byte, len(ss))
	for i, s := range ss {
		out[i] = []byte(s)
	}
	return out
}

// replayedContent returns the snapshot and the records that a new owner would read.
func replayedContent(t *testing.T, f *fakeTables) string {
	t.Helper()
	o, err := ReadOwner(t.Context(), f, "z/1")
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
		{"refused once", []fault{commitRefused}},
		{"rate limited twice", []fault{rateLimited, rateLimited}},
		{"response lost, applied", []fault{responseLost}},
		{"response lost, not applied", []fault{notApplied}},
		{"response lost, then refused, then applied", []fault{notApplied, commitRefused, noFault}},
		{"response lost, read refused", []fault{responseLost, readRefused}},
		{"applied late", []fault{appliedLate}},
		{"response lost three times", []fault{notApplied, notApplied, responseLost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeTables()
				l, _ := open(t, f, "a", Options{})
				f.faults = tt.faults
				for _, s := range []string{"x", "y"} {
					if _, err := l.Append(t.Context(), toRecords(s), nil); err != nil {
						t.Fatalf("Append = %v", err)
					}
				}
				f.applyDelayed()
				if got := replayedContent(t, f); got != " x y" {
					t.Errorf("content = %q, want both records once", got)
				}
			})
		})
	}
}

func TestOpenUnderLostResponses(t *testing.T) {
	for _, fs := range [][]fault{{responseLost}, {notApplied}, {notApplied, responseLost}, {appliedLate}} {
		t.Run(fmt.Sprint(fs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeTables()
				f.faults = fs
				l, _ := open(t, f, "a", Options{})
				f.applyDelayed()
				if _, err := l.Append(t.Context(), toRecords("x"), nil); err != nil {
					t.Fatalf("Append = %v", err)
				}
				if l.Epoch() != 1 {
					t.Errorf("epoch = %d, want 1", l.Epoch())
				}
			})
		})
	}
}

// TestPausedOwnerResumesAfterTrim guards against an append by an earlier owner that
// was paused during a takeover. The sequence number that it uses was trimmed, so
// that insertion of an absent row alone would not refuse it.
func TestPausedOwnerResumesAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTables()
		a, _ := open(t, f, "a", Options{})
		b, _ := open(t, f, "b", Options{})
		seq, err := b.Append(t.Context(), toRecords("b1"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Snapshot(t.Context(), seq, []byte("s1")); err != nil {
			t.Fatal(err)
		}
		_, err = a.Append(t.Context(), toRecords("a1"), nil)
		if result.Of(err) != result.OwnershipLost {
			t.Errorf("append of the old owner = %v, want ownership-lost error", err)
		}
		<-a.OwnershipLost()
		if got := replayedContent(t, f); got != "s1" {
			t.Errorf("content = %q, want the snapshot only", got)
		}
	})
}

// TestDelayedCommitAfterTakeover checks that a commit of the earlier owner has no
// effect when it arrives after the takeover.
func TestDelayedCommitAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTables()
		a, _ := open(t, f, "a", Options{})
		f.faults = []fault{appliedLate}
		e := a.Queue(toRecords("late"), nil)
		synctest.Wait()
		open(t, f, "b", Options{})
		f.applyDelayed()
		<-e.Done()
		if _, err := e.Result(); result.Of(err) != result.OwnershipLost {
			t.Errorf("result = %v, want ownership-lost error", err)
		}
		if got := replayedContent(t, f); got != "" {
			t.Errorf("content = %q, want nothing", got)
		}
	})
}

// TestOwnershipLostAfterEffect covers a commit that took effect, whose response was lost
// and whose row the new owner trimmed. The earlier owner cannot determine the
// outcome and must report it as unknown, not as refused.
func TestOwnershipLostAfterEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTables()
		a, _ := open(t, f, "a", Options{})
		f.faults = []fault{responseLost, readRefused}
		e := a.Queue(toRecords("x"), nil)
		synctest.Wait()
		b, r := open(t, f, "b", Options{})
		if len(r.Records) != 1 {
			t.Fatalf("records = %q, want x", r.Records)
		}
		if err := b.Snapshot(t.Context(), r.LastSeq, []byte("s")); err != nil {
			t.Fatal(err)
		}
		<-e.Done()
		if _, err := e.Result(); result.Of(err) != result.PlatformUnknown {
			t.Errorf("result = %v, want unknown", err)
		}
		<-a.OwnershipLost()
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
		{"delayed, then the condition fails", []fault{appliedLate, noFault}},
		{"not applied, then the condition fails", []fault{notApplied, noFault}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeTables()
				l, _ := open(t, f, "a", Options{Window: time.Second})
				if _, err := f.apply(absent); err != nil {
					t.Fatal(err)
				}
				f.faults = tt.faults
				bad, good := l.Queue(toRecords("bad"), absent), l.Queue(toRecords("good"), nil)
				<-bad.Done()
				<-good.Done()
				if _, err := bad.Result(); !contract.IsConflict(err) {
					t.Errorf("bad = %v, want conflict", err)
				}
				if _, err := good.Result(); err != nil {
					t.Errorf("good = %v", err)
				}
				_, _ = f.apply([]contract.Write{{Key: key, If: contract.Always, Do: contract.Delete}})
				f.applyDelayed()
				if got := replayedContent(t, f); got != " good" {
					t.Errorf("content = %q, want good only", got)
				}
			})
		})
	}
}

// TestConflictEndsOutage checks that a conflict ends the outage, as it shows that the
// tables respond. An owner decides nothing during an outage, so that no later
// commit would end it.
func TestConflictEndsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTables()
		l, _ := open(t, f, "a", Options{})
		absent := []contract.Write{{Key: contract.Key{Table: "quota", Row: "x"}, If: contract.IfAbsent, Do: contract.Put}}
		if _, err := f.apply(absent); err != nil {
			t.Fatal(err)
		}
		f.faults = []fault{notApplied, commitRefused}
		e := l.Queue(toRecords("draw"), absent)
		<-e.Done()
		if _, err := e.Result(); !contract.IsConflict(err) {
			t.Fatalf("result %v, want a conflict", err)
		}
		synctest.Wait()
		if outage := l.Outage(); outage != nil {
			t.Errorf("outage since %v: %v, want none", outage.Since, outage.Err)
		}
	})
}

func TestAppendGivesUp(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
		want   result.Code
	}{
		{"refused throughout", []fault{commitRefused, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused}, result.JournalUnavailable},
		{"response lost first", []fault{notApplied, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused, commitRefused}, result.PlatformUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeTables()
				l, _ := open(t, f, "a", Options{})
				f.faults = tt.faults
				ctx, cancel := context.WithTimeout(t.Context(), 520*time.Millisecond)
				defer cancel()
				_, err := l.Append(ctx, toRecords("x"), nil)
				if result.Of(err) != tt.want {
					t.Errorf("Append = %v, want %v", err, tt.want)
				}
				if l.Outage() == nil {
					t.Error("Outage = nil, want the failure of the commits")
				}
				time.Sleep(time.Minute)
				got := replayedContent(t, f)
				if tt.want == result.JournalUnavailable && got != "" {
					t.Errorf("content = %q after a withdrawn append", got)
				}
			})
		})
	}
}

func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTables()
		l, _ := open(t, f, "a", Options{Window: 250 * time.Millisecond})
		start := time.Now()
		for i := range 750 {
			l.Queue(toRecords(fmt.Sprint(i)), nil)
			time.Sleep(time.Second / 750)
		}
		last := l.Queue(toRecords("last"), nil)
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
		f := newFakeTables()
		a, _ := open(t, f, "a", Options{})
		if err := a.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		o, err := ReadOwner(t.Context(), f, "z/1")
		if err != nil || o.Instance != "" || o.Epoch != 1 {
			t.Fatalf("owner = %+v, %v, want released in epoch 1", o, err)
		}
		once := true
		f.beforeCommit = func() {
			if once {
				once = false
				open(t, f, "c", Options{})
			}
		}
		_, _, err = Open(t.Context(), f, f, "z/1", "b", Options{})
		if result.Of(err) != result.OwnershipLost {
			t.Errorf("Open of the loser = %v, want ownership-lost error", err)
		}
	})
}
