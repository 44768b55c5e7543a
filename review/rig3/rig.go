// Package rig3 has small stand-ins for the users' platform, workers, operator and clients. The cases of the review
// run the project's node program against them, on loopback addresses.
package rig3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Event is one entry of the record.
type Event struct {
	At     time.Duration
	Kind   string
	Fields map[string]string
}

// Record is what was sent, answered and run, in the order of time.
type Record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	events []Event
}

// NewRecord returns a record that is also written to a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f}, nil
}

// Add adds an event with pairs of names and values.
func (r *Record) Add(kind string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{At: time.Since(r.began), Kind: kind, Fields: map[string]string{}}
	line := fmt.Sprintf("%8.3f %-14s", e.At.Seconds(), kind)
	for i := 0; i+1 < len(pairs); i += 2 {
		name, value := fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])
		e.Fields[name] = value
		line += " " + name + "=" + value
	}
	r.events = append(r.events, e)
	_, _ = r.file.WriteString(line + "\n")
}

// Events returns the events of a kind whose fields have the values in pairs.
func (r *Record) Events(kind string, pairs ...string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.events {
		match := e.Kind == kind
		for i := 0; i+1 < len(pairs); i += 2 {
			match = match && e.Fields[pairs[i]] == pairs[i+1]
		}
		if match {
			out = append(out, e)
		}
	}
	return out
}

// Now returns the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Rig is a deployment: the platform's stand-ins and the project's nodes.
type Rig struct {
	Record *Record
	Store  *Store
	Fleet  *Fleet
	Nodes  []*Node
	Zones  []string

	dir     string
	program string
	mu      sync.Mutex
	jobs    map[string][]*Step
	client  *http.Client
}

// Names of the one service and host of the deployment.
const (
	Service = "svc01a"
	Host    = "jobs.example"
)

// New returns a deployment without nodes and workers. The record goes into the folder of the case.
func New(caseDir string) (*Rig, error) {
	rec, err := NewRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(caseDir, "..", "..", "target", "skylark-node"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	r := &Rig{
		Record: rec, Store: NewStore(), Zones: []string{"north", "south", "west"}, dir: dir, program: program, jobs: map[string][]*Step{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.Fleet = NewFleet(rec, r.Store, Service, r.step)
	return r, nil
}

func (r *Rig) step(id string, n int) *Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < 0 || n >= len(r.jobs[id]) {
		return nil
	}
	return r.jobs[id][n]
}

// Route is a queue in the operator's configuration.
type Route struct {
	Name, Hostname, Prefix, RouteType string
	TimeoutMs, TargetLatencyMs        int
	Priority                          int
	Service                           string
	RetryAttempts                     int
	SlackFactor                       float64
}

// NewRoute returns a route with usual values.
func NewRoute(name, prefix string, attempts int) Route {
	return Route{
		Name: name, Hostname: Host, Prefix: prefix, RouteType: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 1000,
		Priority: 2, Service: Service, RetryAttempts: attempts, SlackFactor: 2,
	}
}

// Configure writes a configuration. guard tells whether workers check their capacity.
func (r *Rig) Configure(version int, guard bool, routes ...Route) {
	r.Store.Put("op", "config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": Service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": guard, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	names := []string{}
	for _, rt := range routes {
		names = append(names, rt.Name)
	}
	r.Record.Add("config", "version", version, "routes", strings.Join(names, ","))
}

// Node is one instance of the project's program.
type Node struct {
	Name, Zone, Front, Ready, Control string
	rig                               *Rig
	file                              string
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// Ports of the nodes are below those that the system gives to outgoing connections, so that a node finds its port
// free when it is started again.
const firstPort, lastPort = 12000, 30000

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	for range 100 {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if l, err := net.Listen("tcp", a); err == nil {
			return a, l.Close()
		}
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}

// AddNodes adds so many nodes, one after the other in the zones, and writes their settings.
func (r *Rig) AddNodes(n int) error {
	for i := range n {
		node := &Node{rig: r, Name: fmt.Sprintf("edge-%d", len(r.Nodes)+1), Zone: r.Zones[i%len(r.Zones)]}
		for _, a := range []*string{&node.Front, &node.Ready, &node.Control} {
			addr, err := freeAddress()
			if err != nil {
				return err
			}
			*a = addr
		}
		r.Nodes = append(r.Nodes, node)
	}
	seeds := []string{}
	for _, node := range r.Nodes[:min(3, len(r.Nodes))] {
		seeds = append(seeds, node.Control)
	}
	for _, node := range r.Nodes {
		store, err := r.Store.Serve(node.Name)
		if err != nil {
			return err
		}
		metrics, err := freeAddress()
		if err != nil {
			return err
		}
		b, err := json.Marshal(map[string]any{
			"instance": node.Name, "zone": node.Zone, "zones": r.Zones, "front": node.Front, "ready": node.Ready,
			"control": node.Control, "metrics": metrics, "seeds": seeds, "store": store, "adviser": "",
			"machine": map[string]any{"cpu_share": 0.4, "cpu_speed": 1, "link_mbps": 1000.0, "memory_mb": 284, "max_fds": 4100},
			"bounds": map[string]any{
				"lease_max": "6000ms", "gang_wait": "3000ms", "keep_ended": "120s", "early_start": "250ms", "impact": "4000ms",
				"grace": "6s", "stop": "200ms", "row_bytes": 65536, "evacuate": "0ms",
			},
			"features":  map[string]any{"stop_from": "500ms", "admission": "auto", "order": "on", "reservations": "off"},
			"log_level": "info",
		})
		if err != nil {
			return err
		}
		node.file = filepath.Join(r.dir, node.Name+".conf")
		if err := os.WriteFile(node.file, b, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the node's program, with the command of the deploy file.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(n.rig.program, "run", "-settings", n.file)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.dir, "SKYLARKPORT_CONFIG=" + n.file}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(exited)
	}(n.cmd)
	n.rig.Record.Add("node-start", "node", n.Name)
	return nil
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.rig.Record.Add("signal", "node", n.Name, "signal", s)
	_ = n.cmd.Process.Signal(s)
}

// Kill ends the node's process and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// Exited reports whether the node's process has ended.
func (n *Node) Exited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// AwaitReady waits until all nodes that run are ready.
func (r *Rig) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range r.Nodes {
		if n.cmd == nil {
			continue
		}
		for {
			resp, err := r.client.Get("http://" + n.Ready + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// OwnerNode returns the node that the stored row of the only shard names as its owner, or nil.
func (r *Rig) OwnerNode() *Node {
	var row struct {
		Owner string `json:"owner"`
	}
	if b := r.Store.Value("owner", "owner"); b == nil || json.Unmarshal(b, &row) != nil {
		return nil
	}
	for _, n := range r.Nodes {
		if n.Name == row.Owner {
			return n
		}
	}
	return nil
}

// Close ends all processes and removes the temporary files, or keeps them if KEEP is set.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		if n.cmd != nil && !n.Exited() {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
}

// Reply is the answer to a request. Status is 0 if there was none.
type Reply struct {
	Status int
	Body   string
}

// Do sends a request to a node.
func (r *Rig) Do(n *Node, method, path string, body any) Reply {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err) // the bodies of this package always encode
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+n.Front+path, in)
	if err != nil {
		return Reply{}
	}
	req.Host = Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	c := *r.client
	c.Timeout = 3500 * time.Millisecond
	resp, err := c.Do(req)
	if err != nil {
		r.Record.Add("request", "node", n.Name, "method", method, "path", path, "status", 0, "error", err)
		return Reply{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Record.Add("request", "node", n.Name, "method", method, "path", path, "status", 0, "error", err)
		return Reply{}
	}
	r.Record.Add("request", "node", n.Name, "method", method, "path", path, "status", resp.StatusCode, "body", strings.TrimSpace(string(b)))
	return Reply{resp.StatusCode, string(b)}
}

// Schedule repeats a job. The zero value runs it once.
type Schedule struct {
	StartAtMs   int64 `json:"StartAtMs,omitempty"`
	RepeatCount int   `json:"RepeatCount,omitempty"`
	IntervalMs  int64 `json:"IntervalMs,omitempty"`
}

// Submit hands a job in at a node.
func (r *Rig) Submit(n *Node, prefix, id string, s Schedule, steps ...*Step) Reply {
	r.mu.Lock()
	r.jobs[id] = steps
	r.mu.Unlock()
	return r.Do(n, http.MethodPost, prefix+id, struct {
		TaskSpec string
		Steps    []*Step
		Schedule
	}{"work of " + id, steps, s})
}

// State asks a node for a job's state and returns it, or the status.
func (r *Rig) State(n *Node, prefix, id string) string {
	reply := r.Do(n, http.MethodGet, prefix+id, nil)
	var body struct{ State string }
	if reply.Status != http.StatusOK || json.Unmarshal([]byte(reply.Body), &body) != nil {
		return fmt.Sprint("status ", reply.Status)
	}
	return body.State
}

// Pending asks a node for the number of pending jobs of a queue, -1 without an answer.
func (r *Rig) Pending(n *Node, prefix string) int {
	reply := r.Do(n, http.MethodGet, prefix, nil)
	var body struct{ Pending int }
	if reply.Status != http.StatusOK || json.Unmarshal([]byte(reply.Body), &body) != nil {
		return -1
	}
	return body.Pending
}

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Main runs a case in the folder named by the first argument, and ends the process with its exit code.
func Main(run func(r *Rig) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: case FOLDER")
		os.Exit(NotRun)
	}
	r, err := New(os.Args[1])
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(NotRun)
	}
	code, err := run(r)
	r.Close()
	if err != nil {
		r.Record.Add("not-run", "error", err)
		fmt.Println("not run:", err)
		os.Exit(NotRun)
	}
	r.Record.Add("verdict", "code", code)
	fmt.Println("verdict", code)
	os.Exit(code)
}

// Wall returns the time of day at a time of the record.
func (r *Rig) Wall(at time.Duration) time.Time { return r.Record.began.Add(at) }

// StartSmall starts a small deployment: four workers with room for all jobs of a case, and StartNodes.
func (r *Rig) StartSmall(version int, routes ...Route) error {
	for i, id := range []string{"i-01", "i-02", "i-03", "i-04"} {
		if _, err := r.Fleet.AddWorker(id, r.Zones[i%len(r.Zones)], []string{"a", "r1-" + id}, 16000, 32768, true); err != nil {
			return err
		}
	}
	return r.StartNodes(version, routes...)
}

// StartNodes starts a node in each zone, with the given routes in the configuration of the given version. It returns
// when the nodes are ready and the shard has had an owner for a while.
func (r *Rig) StartNodes(version int, routes ...Route) error {
	r.Configure(version, true, routes...)
	if err := r.AddNodes(len(r.Zones)); err != nil {
		return err
	}
	for _, n := range r.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	if err := r.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	if r.OwnerNode() == nil {
		return fmt.Errorf("the shard has no owner")
	}
	return nil
}
