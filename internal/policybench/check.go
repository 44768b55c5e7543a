package policybench

import "fmt"

// The targets, as stated by the users.
const (
	minWindowsWithinTarget = 0.99  // fraction of windows whose 99th percentile is within target
	maxViolatingRatio      = 0.25  // of first fit's violating windows
	backlogThroughputRatio = 1.5   // of first fit's batch throughput while there is a backlog
	minThroughputRatio     = 0.995 // of first fit's batch throughput otherwise
	maxUrgentStartSeconds  = 5.0   // 99th percentile of the time until urgent tasks start
)

// Check is a target and the measured value that it was compared with.
type Check struct {
	Name     string `json:"name"`
	Pass     bool   `json:"pass"`
	Measured string `json:"measured"`
}

// sumResults adds up the results of all seeds of one deployment, level, fault and
// policy; latencies and utilisation are averaged, and urgent starts take the
// maximum.
func sumResults(results []Result, deployment, level string, f Fault, p Policy) Result {
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

// add adds r's counts to s. Percentiles and utilisation are summed too; for a
// mean the caller divides them by the number of results.
func (s *Result) add(r *Result) {
	s.Deployment, s.Level, s.Fault, s.Policy, s.Target = r.Deployment, r.Level, r.Fault, r.Policy, r.Target
	s.P50 += r.P50
	s.P99 += r.P99
	s.P999 += r.P999
	s.Windows += r.Windows
	s.ViolatingWindows += r.ViolatingWindows
	s.ReplicaWindows += r.ReplicaWindows
	s.ViolatingReplicaWindows += r.ViolatingReplicaWindows
	s.CoreHours += r.CoreHours
	s.Submitted += r.Submitted
	s.Finished += r.Finished
	s.Cancelled += r.Cancelled
	s.SetAside += r.SetAside
	s.DeadlinesDue += r.DeadlinesDue
	s.DeadlinesMet += r.DeadlinesMet
	s.Evictions += r.Evictions
	s.Throttles += r.Throttles
	s.Failures += r.Failures
	s.Utilisation += r.Utilisation
	s.UrgentP99 = max(s.UrgentP99, r.UrgentP99)
	s.Overcommitted += r.Overcommitted
	s.Lost += r.Lost
	s.Duplicated += r.Duplicated
	s.Rejected += r.Rejected
}

// Checks compares the results with the targets.
func Checks(results []Result) []Check {
	out := []Check{checkSafety(results)}
	levels := Levels()
	for _, l := range levels {
		out = append(out, checkHeadquarters(results, l.Name)...)
	}
	for _, l := range levels {
		out = append(out, checkDealers(results, l.Name, l.BatchLoad > 1)...)
	}
	return out
}

// checkSafety checks over all runs and policies that no task was lost or
// duplicated, no worker overcommitted and no decision rejected.
func checkSafety(results []Result) Check {
	var s Result
	for i := range results {
		s.add(&results[i])
	}
	return Check{
		Name:     "all runs: nothing overcommitted, lost, doubled or rejected",
		Pass:     s.Overcommitted+s.Lost+s.Duplicated+s.Rejected == 0,
		Measured: fmt.Sprintf("%d overcommitted, %d lost, %d doubled, %d rejected", s.Overcommitted, s.Lost, s.Duplicated, s.Rejected),
	}
}

// checkHeadquarters checks latency targets, throughput and urgent starts in the
// "headquarters" deployment.
func checkHeadquarters(results []Result, level string) []Check {
	p := sumResults(results, "headquarters", level, NoFault, Learning)
	f := sumResults(results, "headquarters", level, NoFault, FirstFit)
	within := 1 - ratio(float64(p.ViolatingWindows), float64(p.Windows))
	return []Check{
		{
			Name:     "headquarters " + level + ": 99th percentile within target in 99% of windows",
			Pass:     p.Windows > 0 && within >= minWindowsWithinTarget,
			Measured: fmt.Sprintf("%.2f%%", 100*within),
		},
		{
			Name:     "headquarters " + level + ": at most a quarter of first fit's violating windows",
			Pass:     float64(p.ViolatingWindows) <= maxViolatingRatio*float64(f.ViolatingWindows),
			Measured: fmt.Sprintf("%d against %d", p.ViolatingWindows, f.ViolatingWindows),
		},
		{
			Name:     "headquarters " + level + ": batch throughput at least first fit's",
			Pass:     p.CoreHours >= minThroughputRatio*f.CoreHours,
			Measured: fmt.Sprintf("%.0f against %.0f core-hours", p.CoreHours, f.CoreHours),
		},
		checkUrgent(&p),
	}
}

// checkDealers checks throughput, evictions and urgent starts in the "dealers" deployment.
// With backlog, more batch work arrives than fits, and a higher throughput ratio is required.
func checkDealers(results []Result, level string, backlog bool) []Check {
	p := sumResults(results, "dealers", level, NoFault, Learning)
	f := sumResults(results, "dealers", level, NoFault, FirstFit)
	b := sumResults(results, "dealers", level, NoFault, ResourceOnly)
	factor, name := minThroughputRatio, "batch throughput at least first fit's"
	if backlog {
		factor, name = backlogThroughputRatio, "1.5 times first fit's batch throughput"
	}
	return []Check{
		{
			Name:     "dealers " + level + ": " + name,
			Pass:     p.CoreHours >= factor*f.CoreHours,
			Measured: fmt.Sprintf("%.0f against %.0f core-hours", p.CoreHours, f.CoreHours),
		},
		{
			Name:     "dealers " + level + ": no more evictions per finished task than without learning",
			Pass:     p.evictionsPerTask() <= b.evictionsPerTask(),
			Measured: fmt.Sprintf("%.4f against %.4f", p.evictionsPerTask(), b.evictionsPerTask()),
		},
		checkUrgent(&p),
	}
}

func checkUrgent(p *Result) Check {
	return Check{
		Name:     p.Deployment + " " + p.Level + ": urgent tasks start within 5 s at the 99th percentile",
		Pass:     p.UrgentP99 <= maxUrgentStartSeconds,
		Measured: fmt.Sprintf("%.0f s", p.UrgentP99),
	}
}
