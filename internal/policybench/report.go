package policybench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds all results and checks, and is written as JSON or as a table.
type Report struct {
	Results []Result `json:"results"`
	Checks  []Check  `json:"checks"`
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// WriteTable writes a row for each deployment, level, fault and policy, summed
// over the seeds (mean of latencies, maximum of urgent starts), and the checks.
// It returns false if a check failed.
func (r *Report) WriteTable(w io.Writer) bool {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tload\tfault\tpolicy\tp50 ms\tp99\tp99.9\ttarget\tviolating\twindows\treplica-windows %\tcore-h\tfinished\tdeadlines %\tevictions/task\tthrottles\tutilisation\turgent s\t")
	seen := map[string]bool{}
	for i := range r.Results {
		c := &r.Results[i]
		key := fmt.Sprint(c.Deployment, c.Level, c.Fault, c.Policy)
		if seen[key] {
			continue
		}
		seen[key] = true
		s := sumResults(r.Results, c.Deployment, c.Level, c.Fault, c.Policy)
		s.writeRow(t)
	}
	_ = t.Flush()
	return r.writeChecks(w)
}

func (s *Result) writeRow(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.2f\t%.0f\t%d\t%.1f\t%.4f\t%d\t%.2f\t%.0f\t\n",
		s.Deployment, s.Level, s.Fault, s.Policy, s.P50, s.P99, s.P999, s.Target,
		s.ViolatingWindows, s.Windows, 100*ratio(float64(s.ViolatingReplicaWindows), float64(s.ReplicaWindows)),
		s.CoreHours, s.Finished, 100*ratio(float64(s.DeadlinesMet), float64(s.DeadlinesDue)),
		s.evictionsPerTask(), s.Throttles, s.Utilisation, s.UrgentP99)
}

// writeChecks writes the result of each check and reports whether all passed.
func (r *Report) writeChecks(w io.Writer) bool {
	ok := true
	fmt.Fprintln(w)
	for _, c := range r.Checks {
		verdict := "pass"
		if !c.Pass {
			verdict, ok = "MISS", false
		}
		fmt.Fprintf(w, "%s  %s: %s\n", verdict, c.Name, c.Measured)
	}
	return ok
}
