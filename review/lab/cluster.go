package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is a process of the system.
type node struct {
	name, front, ready, control string
	settings                    string
	reserved                    []net.Listener // of its addresses, until it is started
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

// cluster is the deployment under test.
type cluster struct {
	dir    string
	binary string
	judge  *judge
	store  *store
	nodes  []*node
}

// newCluster prepares n nodes in three zones.
func newCluster(dir, binary string, g *judge, s *store, n int, change func(map[string]any)) *cluster {
	c := &cluster{dir: dir, binary: binary, judge: g, store: s}
	zones := []string{"z1", "z2", "z3"}
	for i := range n {
		nd := &node{name: fmt.Sprintf("edge-%d", i+1)}
		nd.front, nd.ready, nd.control = nd.reserve(), nd.reserve(), nd.reserve()
		c.nodes = append(c.nodes, nd)
	}
	for i, nd := range c.nodes {
		seeds := []string{}
		for _, o := range c.nodes[:min(3, n)] {
			seeds = append(seeds, o.control)
		}
		settings := map[string]any{
			"instance": nd.name, "zone": zones[i%3], "zones": zones, "front": nd.front, "ready": nd.ready, "control": nd.control, "metrics": nd.reserve(),
			"seeds": seeds, "store": s.url, "adviser": "",
			"machine": map[string]any{"cpu_share": 0.4, "cpu_speed": 1, "link_mbps": 1000},
			"bounds": map[string]any{
				"lease_max": "6000ms", "gang_wait": "3000ms", "keep_ended": "120s", "early_start": "250ms", "impact": "4000ms",
				"grace": "6s", "stop": "200ms", "row_bytes": 65536, "evacuate": "0ms",
			},
			"features":  map[string]any{"stop_from": "500ms", "admission": "auto", "order": "on", "reservations": "off"},
			"log_level": "info",
		}
		if change != nil {
			change(settings)
		}
		b, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			giveUp("%v", err)
		}
		nd.settings = filepath.Join(dir, nd.name+".conf")
		if err := os.WriteFile(nd.settings, b, 0o600); err != nil {
			giveUp("%v", err)
		}
	}
	return c
}

// reserve returns an address for the node.
func (nd *node) reserve() string {
	address, l := reserve()
	nd.reserved = append(nd.reserved, l)
	return address
}

// start starts a node's process.
func (c *cluster) start(nd *node) {
	for _, l := range nd.reserved {
		_ = l.Close()
	}
	nd.reserved = nil
	log, err := os.OpenFile(filepath.Join(c.dir, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	cmd := exec.Command(c.binary, "run", "-settings", nd.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SKYLARKPORT_CONFIG=" + nd.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		giveUp("start %s: %v", nd.name, err)
	}
	exited := make(chan struct{})
	nd.mu.Lock()
	nd.cmd, nd.exited = cmd, exited
	nd.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
		c.judge.log("%s has ended: %v", nd.name, cmd.ProcessState)
	}()
	c.judge.log("%s started", nd.name)
}

// signal sends a signal to a node's process.
func (nd *node) signal(s syscall.Signal) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.cmd != nil && nd.cmd.Process != nil {
		_ = nd.cmd.Process.Signal(s)
	}
}

// kill kills a node's process and waits for its end.
func (nd *node) kill() {
	nd.signal(syscall.SIGCONT)
	nd.signal(syscall.SIGKILL)
	nd.wait()
}

func (nd *node) wait() {
	nd.mu.Lock()
	exited := nd.exited
	nd.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// gone reports whether the node's process has ended.
func (nd *node) gone() bool {
	nd.mu.Lock()
	exited := nd.exited
	nd.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// stopAll kills all processes.
func (c *cluster) stopAll() {
	for _, nd := range c.nodes {
		nd.kill()
	}
}

// fronts lists the nodes that report themselves ready, or all of them if none does.
func (c *cluster) fronts() []string {
	var ready, all []string
	for _, nd := range c.nodes {
		if nd.gone() {
			continue
		}
		all = append(all, nd.front)
		if nd.isReady() {
			ready = append(ready, nd.front)
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}

func (nd *node) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + nd.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes report themselves ready.
func (c *cluster) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, nd := range c.nodes {
		for !nd.isReady() {
			if time.Now().After(end) {
				giveUp("%s is not ready", nd.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// owner returns the node that owns the shard, by the store's owner row, or nil.
func (c *cluster) owner() *node {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for id, r := range c.store.rows {
		var row struct {
			Owner string `json:"owner"`
		}
		if id.table == "owner" && json.Unmarshal(r.Value, &row) == nil {
			for _, nd := range c.nodes {
				if nd.name == row.Owner {
					return nd
				}
			}
		}
	}
	return nil
}
