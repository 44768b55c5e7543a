//go:build chaos && measure

package chaos

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/capacity"
	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/resource"
)

const (
	measureCommand      = "make measure"
	docsDir             = "../../docs"
	warmUp              = 6 * time.Second // not measured
	measureWindow       = 10 * time.Second
	clockTicksPerSecond = 100.0 // CPU times in /proc/PID/stat are in clock ticks
	pageSize            = 4096.0
	bytesPerMB          = 1e6
	startRateRunTime    = 2 * time.Second // of each task in measureStarts
	takeoverTimeout     = 30 * time.Second
	bundlePollInterval  = 20 * time.Millisecond
)

// productionConfig has the worker capacity and the intervals of a production
// deployment. oneZoneConfig sets the zones.
var productionConfig = clusterConfig{
	rackSize: 8, shards: 1, capacity: resource.Vector{MilliCPU: 64000, MemoryMB: 256000},
	heartbeat: time.Second, exchange: 4 * time.Second, grant: 12 * time.Second,
	cycle: 100 * time.Millisecond, commit: 50 * time.Millisecond,
}

// oneZoneConfig returns productionConfig with one zone of the given size.
func oneZoneConfig(instances, workers int) clusterConfig {
	s := productionConfig
	s.zones = []zoneConfig{{"ishikari", instances}}
	s.workersPerZone = workers
	return s
}

// measurements collects the measured points by the name of their series. The
// subtests of TestMeasure add to it in parallel.
type measurements struct {
	mu     sync.Mutex
	points map[string][]capacity.Point
}

func (s *measurements) add(series string, x, y float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.points[series] = append(s.points[series], capacity.Point{X: x, Y: y})
}

// seriesSpecs describe the series in the order in which docs/CAPACITY.md lists
// them.
var seriesSpecs = []capacity.Series{
	{Name: capacity.SchedulerCPUWorkers, Title: "Scheduler, processor", XLabel: "workers owned", YLabel: "millicores"},
	{Name: capacity.SchedulerBytesWorkers, Title: "Scheduler, sockets to platform, workers and peers", XLabel: "workers owned", YLabel: "bytes/s"},
	{Name: capacity.SchedulerMemoryWorkers, Title: "Scheduler, resident memory", XLabel: "workers owned", YLabel: "MB"},
	{Name: capacity.SchedulerCPUTasks, Title: "Scheduler, processor", XLabel: "tasks running", YLabel: "millicores"},
	{Name: capacity.SchedulerBytesTasks, Title: "Scheduler, sockets", XLabel: "tasks running", YLabel: "bytes/s"},
	{Name: capacity.SchedulerMemoryTasks, Title: "Scheduler, resident memory", XLabel: "tasks running", YLabel: "MB"},
	{Name: capacity.EntryMemoryUpstreams, Title: "Entry, resident memory", XLabel: "upstreams", YLabel: "MB"},
	{Name: capacity.TakeoverSeconds, Title: "Takeover of a killed owner's shard", XLabel: "tasks running", YLabel: "s"},
	{Name: capacity.PeerCPU, Title: "Scheduler that owns no worker, processor", XLabel: "peers in the zone", YLabel: "millicores"},
	{Name: capacity.PeerBytes, Title: "Scheduler that owns no worker, peer links", XLabel: "peers in the zone", YLabel: "bytes/s"},
	{Name: capacity.BundleSeconds, Title: "Accepted bundle in force on the last instance", XLabel: "instances", YLabel: "s"},
	{Name: capacity.JournalRows, Title: "Table rows written by one shard, at one job a second", XLabel: "task starts a second", YLabel: "rows/s"},
}

// TestMeasure measures the resource use and the delays of the real programs at
// several sizes of the deployment, fits a line to each series, and rewrites
// docs/capacity and the tables of docs/CAPACITY.md.
func TestMeasure(t *testing.T) {
	s := &measurements{points: map[string][]capacity.Point{}}
	t.Run("sizes", func(t *testing.T) {
		index := 0
		run := func(name string, x int, f func(t *testing.T, s *measurements, index, x int)) {
			index++
			at := index
			t.Run(fmt.Sprintf("%s-%d", name, x), func(t *testing.T) {
				t.Parallel()
				f(t, s, at, x)
			})
		}
		for _, n := range []int{25, 50, 100, 200} {
			run("workers", n, measureWorkers)
		}
		for _, n := range []int{100, 200, 400, 800} {
			run("tasks", n, measureTasks)
		}
		for _, n := range []int{2, 4, 8, 12} {
			run("instances", n, measureInstances)
		}
		for _, n := range []int{5, 10, 20, 40} {
			run("starts", n, measureStarts)
		}
	})
	if t.Failed() {
		return
	}
	r := &capacity.Results{Machine: fmt.Sprintf("%d processors, %s, loopback", runtime.NumCPU(), runtime.Version())}
	for _, v := range seriesSpecs {
		v.Command = measureCommand
		v.Points = s.points[v.Name]
		slices.SortFunc(v.Points, func(a, b capacity.Point) int { return cmp.Compare(a.X, b.X) })
		var ok bool
		if v.Fit, ok = capacity.FitLine(v.Points); !ok {
			t.Fatalf("%s: cannot fit a line to %d points", v.Name, len(v.Points))
		}
		r.Series = append(r.Series, v)
	}
	if err := capacity.WriteResults(docsDir, r); err != nil {
		t.Fatal(err)
	}
}

// resourceUsage holds the average rates of a scheduler process over measureWindow and its
// resident memory at the end.
type resourceUsage struct {
	milliCores   float64
	memoryMB     float64
	platformRate float64 // bytes/s to the platform and the workers, both directions
	peerRate     float64 // bytes/s to peers, both directions
}

// counters are the cumulative counters of a process at one moment.
type counters struct {
	at                       time.Time
	cpuSeconds               float64 // user and system time
	platformBytes, peerBytes float64 // both directions
}

// measureUsage measures the resource usage of the scheduler of n over measureWindow.
func (c *cluster) measureUsage(n *node) resourceUsage {
	c.t.Helper()
	a := c.readCounters(n)
	time.Sleep(measureWindow)
	b := c.readCounters(n)
	d := b.at.Sub(a.at).Seconds()
	return resourceUsage{
		milliCores: (b.cpuSeconds - a.cpuSeconds) / d * 1000, memoryMB: residentMB(c.t, n.scheduler),
		platformRate: (b.platformBytes - a.platformBytes) / d, peerRate: (b.peerBytes - a.peerBytes) / d,
	}
}

// readCounters reads the current counters of the scheduler of n.
func (c *cluster) readCounters(n *node) counters {
	m := c.scrapeMetrics(n.operatorURL)
	return counters{
		at: time.Now(), cpuSeconds: cpuTime(c.t, n.scheduler),
		platformBytes: m["skylark_scheduler_platform_bytes_in"] + m["skylark_scheduler_platform_bytes_out"],
		peerBytes:     m["skylark_scheduler_peer_bytes_in"] + m["skylark_scheduler_peer_bytes_out"],
	}
}

// scrapeMetrics returns the values of the metrics without labels that the process
// at the URL exposes.
func (c *cluster) scrapeMetrics(url string) map[string]float64 {
	c.t.Helper()
	resp, err := http.Get(url + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out
}

// procFields returns the space-separated fields of the file /proc/PID/file of the
// process.
func procFields(t *testing.T, p *proc, file string) []string {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(b))
}

func parseFloat(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// cpuTime returns the CPU time that the process has used, in seconds.
func cpuTime(t *testing.T, p *proc) float64 {
	t.Helper()
	const user, system = 13, 14 // indexes of the fields utime and stime
	f := procFields(t, p, "stat")
	return (parseFloat(t, f[user]) + parseFloat(t, f[system])) / clockTicksPerSecond
}

// residentMB returns the resident memory of the process, in MB.
func residentMB(t *testing.T, p *proc) float64 {
	t.Helper()
	return parseFloat(t, procFields(t, p, "statm")[1]) * pageSize / bytesPerMB
}

// waitForOwner waits until the first shard has an owner and at least the given
// number of workers. It returns the owner's node and another node, nil if there
// is none.
func (c *cluster) waitForOwner(workers int) (owner, other *node) {
	c.t.Helper()
	c.waitFor("owner of a shard with all workers", startTimeout, func() bool {
		st, err := c.status(c.nodes[0])
		if err != nil || len(st.Shards) == 0 || st.Shards[0].Workers < workers {
			return false
		}
		owner, other = c.splitByOwner(st.Shards[0].Owner)
		return owner != nil
	})
	return owner, other
}

// splitByOwner returns the node of the scheduler with the id, and another node.
func (c *cluster) splitByOwner(id string) (owner, other *node) {
	for _, n := range c.nodes {
		if strings.HasPrefix(id, n.id+"/") {
			owner = n
		} else {
			other = n
		}
	}
	return owner, other
}

// measureWorkers measures a scheduler that owns the workers and runs no task.
func measureWorkers(t *testing.T, s *measurements, index, workers int) {
	c := newClusterWith(t, oneZoneConfig(1, workers), index, 1)
	n, _ := c.waitForOwner(workers)
	time.Sleep(warmUp)
	v := c.measureUsage(n)
	s.add(capacity.SchedulerCPUWorkers, float64(workers), v.milliCores)
	s.add(capacity.SchedulerBytesWorkers, float64(workers), v.platformRate+v.peerRate)
	s.add(capacity.SchedulerMemoryWorkers, float64(workers), v.memoryMB)
}

// measureTasks runs replicas of a service on 64 workers and measures the shard's
// owner and the entry on the same node. Then it kills the owner and measures the time until
// another scheduler owns the shard with all tasks running.
func measureTasks(t *testing.T, s *measurements, index, tasks int) {
	const workers = 64
	c := newClusterWith(t, oneZoneConfig(2, workers), index, 1)
	n, other := c.waitForOwner(workers)
	c.submit(job.Spec{ID: service, Organisation: organisation, Kind: job.Service, Family: "lookup", Tasks: tasks, Needs: resource.Vector{MilliCPU: 500, MemoryMB: 256}})
	c.waitFor("all replicas running", finishTimeout, func() bool { return c.countTasks(service, api.TaskRunning) == tasks })
	time.Sleep(warmUp)
	v := c.measureUsage(n)
	s.add(capacity.SchedulerCPUTasks, float64(tasks), v.milliCores)
	s.add(capacity.SchedulerBytesTasks, float64(tasks), v.platformRate+v.peerRate)
	s.add(capacity.SchedulerMemoryTasks, float64(tasks), v.memoryMB)
	s.add(capacity.EntryMemoryUpstreams, float64(tasks), residentMB(t, n.entry))

	killed := time.Now()
	n.scheduler.kill()
	c.waitFor("takeover of the shard", takeoverTimeout, func() bool {
		st, err := c.status(other)
		return err == nil && len(st.Shards) > 0 && strings.HasPrefix(st.Shards[0].Owner, other.id+"/") && st.Shards[0].Running == tasks
	})
	s.add(capacity.TakeoverSeconds, float64(tasks), time.Since(killed).Seconds())
}

// measureInstances measures a scheduler that owns no worker, and the time until
// an accepted bundle is in force on all instances.
func measureInstances(t *testing.T, s *measurements, index, instances int) {
	const workers = 8
	c := newClusterWith(t, oneZoneConfig(instances, workers), index, 1)
	_, standby := c.waitForOwner(workers)
	time.Sleep(warmUp)
	v := c.measureUsage(standby)
	peers := float64(2*instances - 1) // an entry and a scheduler per instance, without itself
	s.add(capacity.PeerCPU, peers, v.milliCores)
	s.add(capacity.PeerBytes, peers, v.peerRate)
	s.add(capacity.BundleSeconds, float64(instances), c.measureBundleRollout().Seconds())
}

// measureBundleRollout accepts a bundle and returns the time until the scheduler
// of the last node has it in force.
func (c *cluster) measureBundleRollout() time.Duration {
	c.t.Helper()
	next := initialBundle()
	next.Note = "second"
	body, err := bundle.Encode(&next)
	if err != nil {
		c.t.Fatal(err)
	}
	var p bundle.Proposal
	if err := c.clientOfAll().PostBody(c.ctx, api.PathProposals, body, &p); err != nil {
		c.t.Fatal(err)
	}
	if err := c.clientOfAll().Post(c.ctx, api.PathProposals+"/"+p.Hash+"/accept", struct{}{}, nil); err != nil {
		c.t.Fatal(err)
	}
	accepted := time.Now()
	for _, n := range c.nodes {
		for c.versionInForce(n) < 1 {
			time.Sleep(bundlePollInterval)
		}
	}
	return time.Since(accepted)
}

// versionInForce returns the version of the bundle in force on the scheduler of n,
// 0 if it does not respond.
func (c *cluster) versionInForce(n *node) uint64 {
	var st bundle.Status
	if c.client(n).Get(c.ctx, api.PathBundles, nil, &st) != nil {
		return 0
	}
	return st.InForce.Version
}

// measureStarts submits a batch of rate tasks every second and measures how many
// table rows are written per second.
func measureStarts(t *testing.T, s *measurements, index, rate int) {
	const workers = 64
	c := newClusterWith(t, oneZoneConfig(1, workers), index, 1)
	c.waitForOwner(workers)
	submit := func(i int) {
		c.submit(job.Spec{
			ID: fmt.Sprintf("batch-%d", i), Organisation: organisation, Kind: job.Batch, Family: "valuation", Tasks: rate,
			RunTime: job.Duration(startRateRunTime), Needs: resource.Vector{MilliCPU: 500, MemoryMB: 256},
		})
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	submissions := int((warmUp + measureWindow) / time.Second)
	var rowsBefore float64
	var windowStart time.Time
	for i := range submissions {
		if i == int(warmUp/time.Second) {
			rowsBefore, windowStart = c.rowsWritten(), time.Now()
		}
		submit(i)
		<-tick.C
	}
	s.add(capacity.JournalRows, float64(rate), (c.rowsWritten()-rowsBefore)/time.Since(windowStart).Seconds())
}

// rowsWritten returns the number of table rows written so far.
func (c *cluster) rowsWritten() float64 {
	c.t.Helper()
	v, err := c.admin.Totals(c.ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	return float64(v.RowsWritten)
}
