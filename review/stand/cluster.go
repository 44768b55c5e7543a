package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Cluster is a small deployment: nodes as processes, with stand-ins for all else.
type Cluster struct {
	Store   *Store
	Judge   *Judge
	Adviser *Adviser // nil if no route asks for advice
	Workers []*Worker

	rec     *Record
	dir     string
	nodes   []*node
	version int
}

type node struct {
	name, front, ready, control string
	settings                    string
	cmd                         *exec.Cmd
	ended                       chan struct{}
}

// Service is the service of all routes.
const Service = "teiki"

var zones = []string{"ishikari", "tokachi", "kamikawa"}

// Plan is what a case wants of a deployment. The other figures are those of the sheet.
type Plan struct {
	Program string // path of skylark-node
	Nodes   int
	Workers int
	Routes  []*Route
	Advice  bool // all routes ask for advice
}

// Start starts the stand-ins and the nodes and waits until the nodes are ready.
func Start(p Plan, rec *Record) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	c := &Cluster{rec: rec, dir: dir, Judge: NewJudge(rec)}
	if c.Store, err = NewStore(rec); err != nil {
		return nil, err
	}
	if p.Advice {
		if c.Adviser, err = NewAdviser(rec); err != nil {
			return nil, err
		}
	}
	c.PutConfig(p.Routes)
	for i := range p.Workers {
		zone := i % len(zones)
		w, err := NewWorker(fmt.Sprintf("i-%08x", 0x7f3a9000+i*0x1357), zones[zone], Service, fmt.Sprintf("r%d-%d", zone, i/len(zones)/8), 32000, 128000, c.Store, c.Judge, c.Adviser, rec)
		if err != nil {
			return nil, err
		}
		c.Workers = append(c.Workers, w)
	}
	if err := c.startNodes(p); err != nil {
		c.Stop()
		return nil, err
	}
	return c, c.awaitReady(20 * time.Second)
}

// PutConfig writes the next version of the config.
func (c *Cluster) PutConfig(routes []*Route) {
	c.version += 3
	list := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		route := map[string]any{
			"Name": r.Name, "Hostname": r.Host, "Prefix": r.Prefix, "RouteType": "non_idempotent", "TimeoutMs": 3000,
			"TargetLatencyMs": r.TargetMs, "Priority": r.Priority, "Service": Service, "RetryAttempts": r.Attempts, "SlackFactor": 2.0,
		}
		if c.Adviser != nil {
			route["Recommendation"] = map[string]any{
				"DecisionMs": decisionTime.Milliseconds(), "PerWorkerMs": perWorkerTime.Milliseconds(), "ValidityMs": ticketValidity.Milliseconds(),
			}
		}
		list = append(list, route)
		c.rec.Event("operator", "config %d has route %s", c.version, r.Name)
	}
	c.Store.Put("op", "config", map[string]any{
		"Version": c.version, "Routes": list,
		"Services": []map[string]any{{"Name": Service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// freeAddrs returns n free loopback addresses.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // kept until all are chosen
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (c *Cluster) startNodes(p Plan) error {
	addrs, err := freeAddrs(4 * p.Nodes)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(3, p.Nodes) {
		seeds = append(seeds, addrs[4*i+2])
	}
	for i := range p.Nodes {
		zone := zones[i%len(zones)]
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), front: addrs[4*i], ready: addrs[4*i+1], control: addrs[4*i+2]}
		n.settings = filepath.Join(c.dir, n.name+".json")
		if err := c.writeSettings(n, zone, addrs[4*i+3], seeds); err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.startNode(n, p.Program); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings of deploy/node.json.tmpl with the figures of the sheet.
func (c *Cluster) writeSettings(n *node, zone, metrics string, seeds []string) error {
	adviser := ""
	if c.Adviser != nil {
		adviser = c.Adviser.Addr
	}
	b, err := json.MarshalIndent(map[string]any{
		"instance": n.name, "zone": zone, "zones": zones, "front": n.front, "ready": n.ready, "control": n.control, "metrics": metrics,
		"seeds": seeds, "store": c.Store.Addr, "adviser": adviser,
		"machine": map[string]any{"cpu_share": 0.4, "cpu_speed": 1, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"lease_max": "6000ms", "gang_wait": "3000ms", "keep_ended": "120s", "early_start": "250ms", "impact": "4000ms", "grace": "6s",
			"stop": "200ms", "evacuate": "0ms",
		},
		"features":  map[string]any{"stop_from": "500ms", "admission": "auto", "order": "on", "reservations": "off"},
		"log_level": "info",
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, b, 0o600)
}

func (c *Cluster) startNode(n *node, program string) error {
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command(program, "run", "-settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	c.rec.Event("node", "%s starts", n.name)
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

// awaitReady waits until all nodes answer GET /ready with 200.
func (c *Cluster) awaitReady(limit time.Duration) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			resp, err := client.Get("http://" + n.ready + "/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.nodes) {
			c.rec.Event("nodes", "all ready")
			return nil
		}
	}
	c.Stop()
	return fmt.Errorf("the nodes were not ready within %v", limit)
}

// Stop ends the nodes and removes their files, unless KEEP names a folder for the logs.
func (c *Cluster) Stop() {
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil && n.ended != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(c.dir, keep)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// Finish waits for the finish after the end of the traffic, asks for all accepted jobs and
// judges whether work was lost.
func (c *Cluster) Finish(finish time.Duration) {
	c.rec.Event("client", "end of the traffic")
	time.Sleep(finish)
	watched := make(chan struct{})
	go func() {
		c.Judge.WatchIdle(idleLimit + 2*time.Second)
		close(watched)
	}()
	accepted := c.Judge.Accepted()
	answers := map[string]int{}
	type answer struct {
		job    *Job
		status int
		state  string
	}
	results := make(chan answer)
	turn := make(chan struct{}, 16)
	for _, job := range accepted {
		go func() {
			turn <- struct{}{}
			status, state := c.State(job)
			<-turn
			results <- answer{job, status, state}
		}()
	}
	for range accepted {
		a := <-results
		answers[fmt.Sprintf("%d %s", a.status, a.state)]++
		switch {
		case a.status == 0 || a.status >= 500 || a.status == http.StatusGone:
			c.rec.Broken("LOST", "the accepted job %s is answered %d %s", a.job.ID, a.status, a.state)
		case a.state == "canceled":
			c.rec.Broken("LOST", "the accepted job %s is shown as canceled without cause", a.job.ID)
		case a.state == "failed" && c.Judge.Attempts(a.job) < a.job.Route.Attempts:
			c.rec.Broken("LOST", "the accepted job %s is shown as failed, after %d of %d attempts", a.job.ID, c.Judge.Attempts(a.job), a.job.Route.Attempts)
		case a.state == "completed" && !c.Judge.Done(a.job):
			c.rec.Broken("MIXED", "job %s is shown as completed while a task has not ended so", a.job.ID)
		}
	}
	<-watched
	for what, n := range answers {
		c.rec.Event("client", "%d accepted jobs are answered: %s", n, what)
	}
}
