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
	measureCommand = "make measure"
	docsDir        = "../../docs"
	warmUp         = 6 * time.Second
	windowLength   = 10 * time.Second
	clockTicks     = 100.0 // of /proc, a second
	pageBytes      = 4096.0
	megabyte       = 1e6
	longBatch      = 2 * time.Second // run time of a task in the start rates
	takeoverWait   = 30 * time.Second
	bundlePoll     = 20 * time.Millisecond
)

// production is the timing of a real deployment.
var production = shape{
	rackSize: 8, shards: 1, capacity: resource.Vector{MilliCPU: 64000, MemoryMB: 256000},
	heartbeat: time.Second, exchange: 4 * time.Second, grant: 12 * time.Second,
	cycle: 100 * time.Millisecond, commit: 50 * time.Millisecond,
}

// oneZone is the shape production with one zone.
func oneZone(instances, workers int) shape {
	s := production
	s.zones = []zoneShape{{"ishikari", instances}}
	s.workersPerZone = workers
	return s
}

// sheet collects points of many series.
type sheet struct {
	mu     sync.Mutex
	points map[string][]capacity.Point
}

func (s *sheet) add(series string, x, y float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.points[series] = append(s.points[series], capacity.Point{X: x, Y: y})
}

// titles describe the series, in the order of the page.
var titles = []capacity.Series{
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

// TestMeasure measures the control cost of real processes at several sizes and
// rewrites docs/capacity and the tables of docs/CAPACITY.md.
func TestMeasure(t *testing.T) {
	s := &sheet{points: map[string][]capacity.Point{}}
	t.Run("sizes", func(t *testing.T) {
		index := 0
		run := func(name string, x int, f func(t *testing.T, s *sheet, index, x int)) {
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
	for _, v := range titles {
		v.Command = measureCommand
		v.Points = s.points[v.Name]
		slices.SortFunc(v.Points, func(a, b capacity.Point) int { return cmp.Compare(a.X, b.X) })
		var ok bool
		if v.Fit, ok = capacity.FitLine(v.Points); !ok {
			t.Fatalf("%s: %d points do not make a line", v.Name, len(v.Points))
		}
		r.Series = append(r.Series, v)
	}
	if err := capacity.WriteResults(docsDir, r); err != nil {
		t.Fatal(err)
	}
}

// cost is what a process used over a window.
type cost struct {
	milliCores float64
	memoryMB   float64
	platform   float64 // bytes/s to the platform and the workers, both directions
	peers      float64 // bytes/s to peers, both directions
}

// reading is a process's counters at one moment.
type reading struct {
	at              time.Time
	cpu             float64 // seconds
	platform, peers float64 // bytes
}

// observe measures a scheduler over a window.
func (c *cluster) observe(n *node) cost {
	c.t.Helper()
	a := c.read(n)
	time.Sleep(windowLength)
	b := c.read(n)
	d := b.at.Sub(a.at).Seconds()
	return cost{
		milliCores: (b.cpu - a.cpu) / d * 1000, memoryMB: resident(c.t, n.scheduler),
		platform: (b.platform - a.platform) / d, peers: (b.peers - a.peers) / d,
	}
}

func (c *cluster) read(n *node) reading {
	m := c.metrics(n.operatorURL)
	return reading{
		at: time.Now(), cpu: processorTime(c.t, n.scheduler),
		platform: m["skylark_scheduler_platform_bytes_in"] + m["skylark_scheduler_platform_bytes_out"],
		peers:    m["skylark_scheduler_peer_bytes_in"] + m["skylark_scheduler_peer_bytes_out"],
	}
}

// metrics returns the samples without labels that the process exposes.
func (c *cluster) metrics(url string) map[string]float64 {
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

// procFields returns the fields of a file of /proc about the process.
func procFields(t *testing.T, p *proc, file string) []string {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(b))
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// processorTime returns user and system time, in seconds.
func processorTime(t *testing.T, p *proc) float64 {
	t.Helper()
	const user, system = 13, 14 // fields of stat
	f := procFields(t, p, "stat")
	return (number(t, f[user]) + number(t, f[system])) / clockTicks
}

// resident returns the resident memory, in MB.
func resident(t *testing.T, p *proc) float64 {
	t.Helper()
	return number(t, procFields(t, p, "statm")[1]) * pageBytes / megabyte
}

// owner returns the node that owns a shard with the workers, and one that does
// not, or nil.
func (c *cluster) owner(workers int) (owner, other *node) {
	c.t.Helper()
	c.until("an owner of all workers", startWait, func() bool {
		st, err := c.status(c.nodes[0])
		if err != nil || len(st.Shards) == 0 || st.Shards[0].Workers < workers {
			return false
		}
		owner, other = c.split(st.Shards[0].Owner)
		return owner != nil
	})
	return owner, other
}

func (c *cluster) split(id string) (owner, other *node) {
	for _, n := range c.nodes {
		if strings.HasPrefix(id, n.id+"/") {
			owner = n
		} else {
			other = n
		}
	}
	return owner, other
}

func measureWorkers(t *testing.T, s *sheet, index, workers int) {
	c := newClusterOf(t, oneZone(1, workers), index, 1)
	n, _ := c.owner(workers)
	time.Sleep(warmUp)
	v := c.observe(n)
	s.add(capacity.SchedulerCPUWorkers, float64(workers), v.milliCores)
	s.add(capacity.SchedulerBytesWorkers, float64(workers), v.platform+v.peers)
	s.add(capacity.SchedulerMemoryWorkers, float64(workers), v.memoryMB)
}

// measureTasks runs replicas of a service on 64 workers, and kills the owner
// after the window.
func measureTasks(t *testing.T, s *sheet, index, tasks int) {
	const workers = 64
	c := newClusterOf(t, oneZone(2, workers), index, 1)
	n, other := c.owner(workers)
	c.submit(job.Spec{ID: service, Organisation: tenant, Kind: job.Service, Family: "lookup", Tasks: tasks, Needs: resource.Vector{MilliCPU: 500, MemoryMB: 256}})
	c.until("all replicas", finishWait, func() bool { return c.count(service, api.TaskRunning) == tasks })
	time.Sleep(warmUp)
	v := c.observe(n)
	s.add(capacity.SchedulerCPUTasks, float64(tasks), v.milliCores)
	s.add(capacity.SchedulerBytesTasks, float64(tasks), v.platform+v.peers)
	s.add(capacity.SchedulerMemoryTasks, float64(tasks), v.memoryMB)
	s.add(capacity.EntryMemoryUpstreams, float64(tasks), resident(t, n.entry))

	killed := time.Now()
	n.scheduler.kill()
	c.until("a new owner", takeoverWait, func() bool {
		st, err := c.status(other)
		return err == nil && len(st.Shards) > 0 && strings.HasPrefix(st.Shards[0].Owner, other.id+"/") && st.Shards[0].Running == tasks
	})
	s.add(capacity.TakeoverSeconds, float64(tasks), time.Since(killed).Seconds())
}

// measureInstances measures a standby among its peers and the time until a
// bundle is in force on all.
func measureInstances(t *testing.T, s *sheet, index, instances int) {
	const workers = 8
	c := newClusterOf(t, oneZone(instances, workers), index, 1)
	_, standby := c.owner(workers)
	time.Sleep(warmUp)
	v := c.observe(standby)
	peers := float64(2*instances - 1)
	s.add(capacity.PeerCPU, peers, v.milliCores)
	s.add(capacity.PeerBytes, peers, v.peers)
	s.add(capacity.BundleSeconds, float64(instances), c.acceptBundle().Seconds())
}

// acceptBundle accepts a bundle and returns how long the last instance took to
// have it in force.
func (c *cluster) acceptBundle() time.Duration {
	c.t.Helper()
	next := firstBundle()
	next.Note = "second"
	body, err := bundle.Encode(&next)
	if err != nil {
		c.t.Fatal(err)
	}
	var p bundle.Proposal
	if err := c.operators().PostBody(c.ctx, api.PathProposals, body, &p); err != nil {
		c.t.Fatal(err)
	}
	if err := c.operators().Post(c.ctx, api.PathProposals+"/"+p.Hash+"/accept", struct{}{}, nil); err != nil {
		c.t.Fatal(err)
	}
	accepted := time.Now()
	for _, n := range c.nodes {
		for c.version(n) < 1 {
			time.Sleep(bundlePoll)
		}
	}
	return time.Since(accepted)
}

func (c *cluster) version(n *node) uint64 {
	var st bundle.Status
	if c.client(n).Get(c.ctx, api.PathBundles, nil, &st) != nil {
		return 0
	}
	return st.InForce.Version
}

// measureStarts submits batches at a steady rate and counts the rows written.
func measureStarts(t *testing.T, s *sheet, index, rate int) {
	const workers = 64
	c := newClusterOf(t, oneZone(1, workers), index, 1)
	c.owner(workers)
	submit := func(i int) {
		c.submit(job.Spec{
			ID: fmt.Sprintf("batch-%d", i), Organisation: tenant, Kind: job.Batch, Family: "valuation", Tasks: rate,
			RunTime: job.Duration(longBatch), Needs: resource.Vector{MilliCPU: 500, MemoryMB: 256},
		})
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	seconds := int((warmUp + windowLength) / time.Second)
	var before float64
	var began time.Time
	for i := range seconds {
		if i == int(warmUp/time.Second) {
			before, began = c.rows(), time.Now()
		}
		submit(i)
		<-tick.C
	}
	s.add(capacity.JournalRows, float64(rate), (c.rows()-before)/time.Since(began).Seconds())
}

func (c *cluster) rows() float64 {
	c.t.Helper()
	v, err := c.admin.Totals(c.ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	return float64(v.RowsWritten)
}
