package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a simulated clock whose rate deviates from real time by at most
// MaxClockDriftPPM.
type clock struct {
	rate float64
}

func drawClock(t *rapid.T, name string) clock {
	ppm := rapid.Float64Range(-MaxClockDriftPPM, MaxClockDriftPPM).Draw(t, name)
	return clock{rate: 1 + ppm/1e6}
}

func (c clock) at(real float64) float64    { return real * c.rate }
func (c clock) real(local float64) float64 { return local / c.rate }

// TestBoundsHoldUnderDrift draws clock rates, delays and durations. It guards against a
// worker that runs a task after the owner, or a successor that waits for the lease
// bound, takes the lease for expired.
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

		p := NewBound(time.Duration(owner.at(commit)), length)
		s := Stamp{Received: time.Duration(owner.at(received))}
		grant := p.LeaseDuration(s, time.Duration(draw("usual", 1e11)), rapid.Bool().Draw(t, "away"))
		end := worker.real(worker.at(stamped) + float64(grant))
		const rounding = 1e3 // ns, rounding error of the floats above
		if b := owner.real(float64(LatestExpiry(s, grant))); grant > 0 && end > b+rounding {
			t.Fatalf("worker stops %.0f ns after the owner's latest expiry", end-b)
		}
		spent := next.real(float64(SuccessorExpiry(time.Duration(next.at(read)), length)))
		if grant > 0 && end > spent+rounding {
			t.Fatalf("worker stops %.0f ns after the successor's wait", end-spent)
		}
	})
}

func TestLeaseDuration(t *testing.T) {
	p := Bound{Until: 100 * time.Second}
	tests := []struct {
		name             string
		received         time.Duration
		storeUnavailable bool
		want             time.Duration
	}{
		{"normal", 10 * time.Second, false, 10 * time.Second},
		{"tables unavailable: up to the bound", 10 * time.Second, true, SubDrift(90 * time.Second)},
		{"near the end of the bound", 95 * time.Second, false, SubDrift(5 * time.Second)},
		{"bound has passed", 101 * time.Second, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := p.LeaseDuration(Stamp{Received: tt.received}, 10*time.Second, tt.storeUnavailable)
			if got != tt.want {
				t.Errorf("LeaseDuration = %v, want %v", got, tt.want)
			}
		})
	}
}
