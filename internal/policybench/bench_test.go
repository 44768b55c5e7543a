package policybench

import (
	"os"
	"strings"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	only := os.Getenv("ONLY")
	for _, d := range Deployments() {
		for _, l := range Levels() {
			for _, p := range []Policy{Learning, Blind, FirstFit} {
				if !strings.Contains(d.Name+" "+l.Name+" "+string(p), only) {
					continue
				}
				t.Run(d.Name+l.Name+string(p), func(t *testing.T) {
					t.Parallel()
					t0 := time.Now()
					r := Run(Case{Deployment: d, Level: l, Fault: NoFault, Policy: p, Seed: 1, Day: time.Hour})
					t.Logf("%s %s %s p50=%.0f p99=%.0f p999=%.0f/%.0f viol=%d/%d rep=%d/%d ch=%.0f fin=%d/%d due=%d met=%d ev=%d thr=%d fail=%d aside=%d util=%.2f urg=%.1f over=%d lost=%d dbl=%d rej=%d  %v",
						r.Deployment, r.Level, r.Policy, r.P50, r.P99, r.P999, r.Target, r.Violating, r.Windows, r.ReplicaViolating, r.ReplicaWindows, r.CoreHours, r.Finished, r.Submitted, r.Due, r.Met, r.Evictions, r.Throttles, r.Failures, r.SetAside, r.Utilisation, r.UrgentP99, r.Overcommitted, r.Lost, r.Doubled, r.Rejected, time.Since(t0))
				})
			}
		}
	}
}
