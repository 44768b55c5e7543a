//go:build chaos

package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/ctl"
	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/resource"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

const (
	startWait   = 15 * time.Second
	poll        = 50 * time.Millisecond
	callTimeout = 2 * time.Second
	bundleLoad  = 10 * time.Second
)

// zoneShape is an availability zone and its entry instances.
type zoneShape struct {
	name    string
	entries int
}

// shape is the size and the timing of a deployment.
type shape struct {
	zones          []zoneShape
	workersPerZone int
	rackSize       int
	shards         int
	capacity       resource.Vector
	heartbeat      time.Duration
	exchange       time.Duration
	grant          time.Duration
	cycle          time.Duration
	commit         time.Duration
}

// zones are the availability zones of the chaos cases.
var zones = []zoneShape{{"ishikari", 3}, {"tokachi", 2}, {"kamikawa", 2}}

// small is the shape of the chaos cases.
var small = shape{
	zones: zones, workersPerZone: 4, rackSize: 2, shards: 2, capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16000},
	heartbeat: 300 * time.Millisecond, exchange: 300 * time.Millisecond, grant: 2 * time.Second,
	cycle: 50 * time.Millisecond, commit: 10 * time.Millisecond,
}

// node is an entry instance with its two programs.
type node struct {
	id, zone    string
	entry       *proc
	scheduler   *proc
	entryURL    string
	operatorURL string
}

// cluster is a deployment of real programs on loopback addresses of its own.
type cluster struct {
	shape   shape
	t       *testing.T
	ctx     context.Context
	rand    *rand.Rand
	dir, ip string
	admin   standin.Admin
	nodes   []*node
	began   time.Time
}

// newCluster starts the programs of the shape small and waits until they are
// ready.
func newCluster(t *testing.T, index int, seed uint64) *cluster {
	t.Helper()
	return newClusterOf(t, small, index, seed)
}

// newClusterOf starts the programs and waits until they are ready.
func newClusterOf(t *testing.T, shape shape, index int, seed uint64) *cluster {
	t.Helper()
	c := &cluster{
		shape: shape, t: t, ctx: t.Context(), rand: rand.New(rand.NewPCG(seed, uint64(index))), dir: t.TempDir(),
		ip: fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()%128, index+1), began: time.Now(),
	}
	c.admin = standin.NewAdmin("http://" + c.addr(7000))
	startProc(t, c.dir, "standin", "skylark-standin", "run", "-settings", c.write("standin", c.standinSettings()))
	c.until("the stand-in", startWait, func() bool { _, err := c.admin.Totals(c.ctx); return err == nil })
	first := c.write("bundle", firstBundle())
	n := 0
	for _, z := range c.shape.zones {
		for range z.entries {
			c.addNode(n, z.name, first)
			n++
		}
	}
	for _, n := range c.nodes {
		c.until(n.id+" entry", startWait, func() bool { return ready(c.ctx, n.entryURL) })
		c.until(n.id+" scheduler", startWait, func() bool { _, err := c.status(n); return err == nil })
	}
	return c
}

func (c *cluster) addr(port int) string { return fmt.Sprintf("%s:%d", c.ip, port) }

func (c *cluster) now() time.Duration { return time.Since(c.began) }

func (c *cluster) addNode(i int, zone, first string) {
	n := &node{
		id: nodeID(i), zone: zone,
		entryURL: "http://" + c.addr(7401+i), operatorURL: "http://" + c.addr(7501+i),
	}
	common := c.common(n, first)
	common.PeerListen = c.addr(entryPort(i))
	entry := settings.Entry{Common: common, Listen: c.addr(7401 + i), MaxHeaderBytes: 64 << 10, MaxInFlight: 10_000, KeyRanges: 16}
	common.PeerListen = c.addr(schedulerPort(i))
	scheduler := settings.Scheduler{
		Common: common, OperatorListen: c.addr(7501 + i), Shards: c.shape.shards, Grant: job.Duration(c.shape.grant),
		Promise:  settings.Promise{Latency: seconds(60), Batch: seconds(30)},
		Exchange: job.Duration(c.shape.exchange), Cycle: job.Duration(c.shape.cycle), Commit: job.Duration(c.shape.commit),
	}
	n.scheduler = startProc(c.t, c.dir, n.id+"-scheduler", "skylark-scheduler", "run", "-settings", c.write(n.id+"-scheduler", scheduler))
	n.entry = startProc(c.t, c.dir, n.id+"-entry", "skylark-entry", "run", "-settings", c.write(n.id+"-entry", entry))
	c.nodes = append(c.nodes, n)
}

func nodeID(i int) string        { return fmt.Sprintf("e%d", i) }
func entryPort(i int) int        { return 7300 + 2*i }
func schedulerPort(i int) int    { return 7301 + 2*i }
func seconds(n int) job.Duration { return job.Duration(time.Duration(n) * time.Second) }

func (c *cluster) common(n *node, first string) settings.Common {
	url := "http://" + c.addr(7000)
	names := make([]string, len(c.shape.zones))
	for i, z := range c.shape.zones {
		names[i] = z.name
	}
	return settings.Common{
		Deployment: "chaos", Instance: n.id, Zone: n.zone, Zones: names,
		Platform:  settings.Platform{Tables: url, Objects: url, Instances: url, Timeout: seconds(1), HTTP2: true},
		Heartbeat: job.Duration(c.shape.heartbeat), Drain: seconds(10),
		Log: settings.Log{Format: "text", Level: "info"}, BundleFile: first,
	}
}

func (c *cluster) standinSettings() settings.Standin {
	s := settings.Standin{
		Listen: c.addr(7000),
		Workers: settings.StandinWorkers{
			IP: c.ip, BasePort: 10000, RackSize: c.shape.rackSize, Slots: 8, Conns: 64,
			Capacity: c.shape.capacity,
		},
		ListLag: job.Duration(500 * time.Millisecond), WritesPerSec: 400, ReadsPerSec: 2000,
		CallTimeout: seconds(5), UsageLag: seconds(1), StopDrain: seconds(5), HistoryRecords: 200_000,
		Log:          settings.Log{Format: "text", Level: "info"},
		Families:     []settings.StandinFamily{{Name: "lookup", ServiceTime: job.Duration(2 * time.Millisecond)}},
		Disturbances: []settings.StandinDisturb{{Victim: "lookup", Noisy: "valuation", Slowdown: 0.2}},
	}
	n := 0
	for _, z := range c.shape.zones {
		s.Zones = append(s.Zones, settings.StandinZone{Name: z.name, Workers: c.shape.workersPerZone})
		for range z.entries {
			s.Entries = append(s.Entries, settings.StandinEntry{
				ID: nodeID(n), Zone: z.name, EntryPeer: c.addr(entryPort(n)), SchedulerPeer: c.addr(schedulerPort(n)),
			})
			n++
		}
	}
	return s
}

func firstBundle() bundle.Bundle {
	return bundle.Bundle{
		Author: "chaos", Note: "first", SignOffs: 0,
		Tenants: []bundle.Tenant{{Name: tenant, Weight: 1}},
		Services: []bundle.Service{{
			Name: service, Target: job.Duration(50 * time.Millisecond), Timeout: seconds(2), Class: job.LatencyCritical,
			MaxBodyBytes: 1 << 20, MaxAnswerBytes: 1 << 20, RetryRatio: 1,
		}},
		Placement: bundle.Placement{
			TailWeight: 1, ThroughputWeight: 1, EvictionWeight: 1, UsagePercentile: 0.95, ProcessorMargin: 0.2, MemoryMargin: 0.3,
			SlowdownThreshold: 1.5, Window: seconds(10), Cooldown: seconds(10), EvictionsPerJob: 2, EvictionsPerHour: 60,
			QuarantineFailures: 3, QuarantineFor: seconds(60), QuarantineFraction: 0.25,
		},
	}
}

// write stores v as JSON and returns the file's name.
func (c *cluster) write(name string, v any) string {
	c.t.Helper()
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

// until polls ok and fails the test when it does not hold in time.
func (c *cluster) until(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(poll) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) status(n *node) (api.Status, error) {
	var s api.Status
	err := c.client(n).Get(c.ctx, api.PathStatus, nil, &s)
	return s, err
}

// client returns a client of one operator API.
func (c *cluster) client(n *node) *ctl.Client { return ctl.NewClient(n.operatorURL, callTimeout) }

// operators returns a client of all operator APIs.
func (c *cluster) operators() *ctl.Client {
	servers := ""
	for _, n := range c.nodes {
		servers += n.operatorURL + ","
	}
	return ctl.NewClient(servers, callTimeout)
}

func (c *cluster) submit(spec job.Spec) {
	c.t.Helper()
	c.until("submit "+spec.ID, startWait, func() bool {
		return c.operators().Post(c.ctx, api.PathJobs, spec, nil) == nil
	})
}

// count returns how many tasks of the job are in the state.
func (c *cluster) count(id string, state api.TaskState) int {
	var j api.Job
	if c.operators().Get(c.ctx, api.PathJobs+"/"+id, nil, &j) != nil {
		return 0
	}
	return j.Count(state)
}

func (c *cluster) inject(f standin.Fault) {
	c.t.Helper()
	if err := c.admin.Inject(c.ctx, f); err != nil {
		c.t.Fatal(err)
	}
}
