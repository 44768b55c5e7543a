package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock reads real time at a rate within the drift bound.
type clock struct {
	rate float64
}

func drawClock(t *rapid.T, name string) clock {
	ppm := rapid.Float64Range(-DriftPPM, DriftPPM).Draw(t, name)
	return clock{rate: 1 + ppm/1e6}
}

func (c clock) at(real float64) float64    { return real * c.rate }
func (c clock) real(local float64) float64 { return local / c.rate }

// TestBoundsHoldUnderDrift draws clocks, delays and lengths, and checks that the
// worker's end of a grant is never after the owner's bound, and the owner's
// bound never after what a successor waits for.
func TestBoundsHoldUnderDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker, owner, next := drawClock(t, "worker"), drawClock(t, "owner"), drawClock(t, "next")
		draw := func(name string, hi float64) float64 { return rapid.Float64Range(0, hi).Draw(t, name) }
		commit := draw("commit", 1e12)
		durable := commit + draw("commit takes", 1e11)
		stamped := commit + draw("stamped", 1e12)
		received := stamped + draw("answer takes", 1e10)
		read := durable + draw("read", 1e12)
		length := time.Duration(draw("length", 2e12))

		p := Promised(time.Duration(owner.at(commit)), length)
		s := Stamp{Received: time.Duration(owner.at(received))}
		grant := p.Choose(s, time.Duration(draw("usual", 1e11)), rapid.Bool().Draw(t, "away"))
		end := worker.real(worker.at(stamped) + float64(grant))
		const rounding = 1e3 // ns, of the floats above
		if b := owner.real(float64(Bound(s, grant))); grant > 0 && end > b+rounding {
			t.Fatalf("worker stops %.0f ns after the owner's bound", end-b)
		}
		spent := next.real(float64(Spent(time.Duration(next.at(read)), length)))
		if grant > 0 && end > spent+rounding {
			t.Fatalf("worker stops %.0f ns after the successor's wait", end-spent)
		}
	})
}

func TestChoose(t *testing.T) {
	p := Promise{Until: 100 * time.Second}
	tests := []struct {
		name     string
		received time.Duration
		away     bool
		want     time.Duration
	}{
		{"usual", 10 * time.Second, false, 10 * time.Second},
		{"away grants up to the promise", 10 * time.Second, true, Shrink(90 * time.Second)},
		{"near the end", 95 * time.Second, false, Shrink(5 * time.Second)},
		{"spent", 101 * time.Second, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := p.Choose(Stamp{Received: tt.received}, 10*time.Second, tt.away)
			if got != tt.want {
				t.Errorf("Choose = %v, want %v", got, tt.want)
			}
		})
	}
}
