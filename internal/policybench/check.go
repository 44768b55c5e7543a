package policybench

import "fmt"

// The targets, as stated by the users.
const (
	windowShare     = 0.99 // of windows whose 99th percentile is within target
	violatingShare  = 0.25 // of first fit's violating windows, at most
	dealersFactor   = 1.5  // of first fit's batch throughput, where a backlog stands
	throughputSlack = 0.995
	urgentLimit     = 5.0 // seconds, 99th percentile of urgent starts
)

// Check is a target with what was measured.
type Check struct {
	Name     string `json:"name"`
	Pass     bool   `json:"pass"`
	Measured string `json:"measured"`
}

// sums adds the results of all seeds of one deployment, level, fault and policy.
func sums(results []Result, deployment, level string, f Fault, p Policy) Result {
	var s Result
	n := 0
	for _, r := range results {
		if r.Deployment != deployment || r.Level != level || r.Fault != f || r.Policy != p {
			continue
		}
		n++
		s.add(&r)
	}
	if n > 0 {
		s.P50, s.P99, s.P999 = s.P50/float64(n), s.P99/float64(n), s.P999/float64(n)
		s.Utilisation /= float64(n)
	}
	return s
}

// add adds r's counts; the percentiles are summed for a mean.
func (s *Result) add(r *Result) {
	s.Deployment, s.Level, s.Fault, s.Policy, s.Target = r.Deployment, r.Level, r.Fault, r.Policy, r.Target
	s.P50 += r.P50
	s.P99 += r.P99
	s.P999 += r.P999
	s.Windows += r.Windows
	s.Violating += r.Violating
	s.ReplicaWindows += r.ReplicaWindows
	s.ReplicaViolating += r.ReplicaViolating
	s.CoreHours += r.CoreHours
	s.Submitted += r.Submitted
	s.Finished += r.Finished
	s.Cancelled += r.Cancelled
	s.SetAside += r.SetAside
	s.Due += r.Due
	s.Met += r.Met
	s.Evictions += r.Evictions
	s.Throttles += r.Throttles
	s.Failures += r.Failures
	s.Utilisation += r.Utilisation
	s.UrgentP99 = max(s.UrgentP99, r.UrgentP99)
	s.Overcommitted += r.Overcommitted
	s.Lost += r.Lost
	s.Doubled += r.Doubled
	s.Rejected += r.Rejected
}

// Checks compares the results with the targets.
func Checks(results []Result) []Check {
	out := []Check{safety(results)}
	levels := Levels()
	for _, l := range levels {
		out = append(out, headquartersChecks(results, l.Name)...)
	}
	for _, l := range levels {
		out = append(out, dealersChecks(results, l.Name, l.Batch > 1)...)
	}
	return out
}

// safety holds in all runs of all policies.
func safety(results []Result) Check {
	var s Result
	for i := range results {
		s.add(&results[i])
	}
	return Check{
		Name:     "all runs: nothing overcommitted, lost, doubled or rejected",
		Pass:     s.Overcommitted+s.Lost+s.Doubled+s.Rejected == 0,
		Measured: fmt.Sprintf("%d overcommitted, %d lost, %d doubled, %d rejected", s.Overcommitted, s.Lost, s.Doubled, s.Rejected),
	}
}

func headquartersChecks(results []Result, level string) []Check {
	p := sums(results, "headquarters", level, NoFault, Learning)
	f := sums(results, "headquarters", level, NoFault, FirstFit)
	within := 1 - ratio(float64(p.Violating), float64(p.Windows))
	return []Check{
		{
			Name:     "headquarters " + level + ": 99th percentile within target in 99% of windows",
			Pass:     p.Windows > 0 && within >= windowShare,
			Measured: fmt.Sprintf("%.2f%%", 100*within),
		},
		{
			Name:     "headquarters " + level + ": at most a quarter of first fit's violating windows",
			Pass:     float64(p.Violating) <= violatingShare*float64(f.Violating),
			Measured: fmt.Sprintf("%d against %d", p.Violating, f.Violating),
		},
		{
			Name:     "headquarters " + level + ": batch throughput at least first fit's",
			Pass:     p.CoreHours >= throughputSlack*f.CoreHours,
			Measured: fmt.Sprintf("%.0f against %.0f core-hours", p.CoreHours, f.CoreHours),
		},
		urgentCheck(&p),
	}
}

func dealersChecks(results []Result, level string, backlog bool) []Check {
	p := sums(results, "dealers", level, NoFault, Learning)
	f := sums(results, "dealers", level, NoFault, FirstFit)
	b := sums(results, "dealers", level, NoFault, Blind)
	factor, name := throughputSlack, "batch throughput at least first fit's"
	if backlog {
		factor, name = dealersFactor, "1.5 times first fit's batch throughput"
	}
	return []Check{
		{
			Name:     "dealers " + level + ": " + name,
			Pass:     p.CoreHours >= factor*f.CoreHours,
			Measured: fmt.Sprintf("%.0f against %.0f core-hours", p.CoreHours, f.CoreHours),
		},
		{
			Name:     "dealers " + level + ": no more evictions per finished task than without learning",
			Pass:     p.perFinished() <= b.perFinished(),
			Measured: fmt.Sprintf("%.4f against %.4f", p.perFinished(), b.perFinished()),
		},
		urgentCheck(&p),
	}
}

func urgentCheck(p *Result) Check {
	return Check{
		Name:     p.Deployment + " " + p.Level + ": urgent tasks start within 5 s at the 99th percentile",
		Pass:     p.UrgentP99 <= urgentLimit,
		Measured: fmt.Sprintf("%.0f s", p.UrgentP99),
	}
}
