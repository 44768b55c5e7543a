package policybench
import ("testing";"time";"skylarkport/internal/placement";"fmt")
func TestDbg(t *testing.T) {
	for _, pol := range []Policy{Learning, Blind} {
	for _, d := range Deployments() {
	for _, l := range Levels()[1:] {
	t.Run(d.Name+l.Name+string(pol), func(t *testing.T) {
	t.Parallel()
	c := Case{Deployment: d, Level: l, Fault: NoFault, Policy: pol, Seed: 1, Day: time.Hour}
	b := newBench(c)
	reasons := map[string]int{}
	b.dbg = func(s *placement.Snapshot, p *placement.Plan) {
		for _, d := range p.Decisions { if d.Step != placement.Place { reasons[string(d.Step)+"/"+d.Reason.Stage]++ } }
		for _, w := range p.Waiting { reasons["wait/"+w.Reason.Stage+w.Reason.Detail[:6]]++ }
	}
	for b.now = tick; b.now <= c.Day; b.now += tick { b.step() }
	b.finish()
	fmt.Println(d.Name, l.Name, pol, "fin",b.r.Finished,"ch",int(b.r.CoreHours),"viol",b.r.Violating, "rep", b.r.ReplicaViolating, "ev",b.r.Evictions, "urg", b.r.UrgentP99, reasons)
	})}}}
}
