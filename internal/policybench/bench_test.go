package policybench

import (
	"testing"
	"time"
)

// TestRunsAccountForEveryTask runs each fault briefly and checks that no task is
// lost or duplicated, that no worker is overcommitted, that no decision is
// rejected, and that two runs with the same seed give the same result.
func TestRunsAccountForEveryTask(t *testing.T) {
	for _, f := range append(Faults(), NoFault) {
		for _, p := range []Policy{Learning, FirstFit} {
			t.Run(string(f)+"/"+string(p), func(t *testing.T) {
				c := Case{Deployment: headquarters(), Level: Levels()[1], Fault: f, Policy: p, Seed: 7, DayLength: 5 * time.Minute}
				r := Run(c)
				if r.Overcommitted+r.Lost+r.Duplicated+r.Rejected > 0 {
					t.Errorf("overcommitted %d, lost %d, doubled %d, rejected %d", r.Overcommitted, r.Lost, r.Duplicated, r.Rejected)
				}
				if r.Finished == 0 || r.Windows == 0 {
					t.Errorf("finished %d tasks, measured %d windows", r.Finished, r.Windows)
				}
				if again := Run(c); again != r {
					t.Errorf("second run differs:\n%+v\n%+v", r, again)
				}
			})
		}
	}
}

// TestChecksCanFail checks that every check passes on results that meet the
// targets and fails on results that miss each of them.
func TestChecksCanFail(t *testing.T) {
	var good, bad []Result
	for _, d := range []string{"headquarters", "dealers"} {
		for _, l := range Levels() {
			at := Result{Deployment: d, Level: l.Name, Fault: NoFault, Windows: 100, Finished: 100}
			p, b, f := at, at, at
			p.Policy, b.Policy, f.Policy = Learning, ResourceOnly, FirstFit
			f.ViolatingWindows, f.CoreHours, b.Evictions = 8, 100, 10
			p.CoreHours = 150
			good = append(good, p, b, f)
			p.ViolatingWindows, p.CoreHours, p.Evictions, p.UrgentP99 = 3, 99, 11, 6
			bad = append(bad, p, b, f)
		}
	}
	bad[0].Duplicated = 1
	for _, c := range Checks(good) {
		if !c.Pass {
			t.Errorf("misses %q with %s", c.Name, c.Measured)
		}
	}
	for _, c := range Checks(bad) {
		if c.Pass {
			t.Errorf("passes %q with %s", c.Name, c.Measured)
		}
	}
}
