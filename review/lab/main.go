// Command lab runs a case of the review: it starts the nodes of a small deployment as processes of their
// own, beside stand-ins of the platform's store, of the workers and of clients, and checks the rules.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// giveUp ends the program because the case could not run.
func giveUp(format string, args ...any) {
	if running != nil {
		running.cluster.stopAll()
		_ = os.RemoveAll(running.cluster.dir)
	}
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

// lab is a running case.
type lab struct {
	judge   *judge
	store   *store
	fleet   *fleet
	cluster *cluster
	clients *clients
	trouble bool // TROUBLE is not 0
	dir     string
	version int
	labels  int // of the soak's jobs
}

var running *lab

// capacity is that of each worker.
var capacity = amounts{Cpu: 32000, MemMb: 125000}

// longest is how long a case may take.
const longest = 115 * time.Second

// queues of the configuration.
const (
	host  = "nony24.example"
	quick = "/quick/"
	batch = "/batch/"
	watch = "/watch/"
)

func (l *lab) configure() {
	l.version += 3
	route := func(name, prefix string, priority, target int, slack float64) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": host, "Prefix": prefix, "RouteType": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": target,
			"Priority": priority, "Service": l.fleet.service, "RetryAttempts": 2, "SlackFactor": slack,
		}
	}
	l.store.put("op", "config", map[string]any{
		"Version": l.version,
		"Routes": []any{
			route("r-quick", quick, 0, 250, 1.5), route("r-batch", batch, 2, 1000, 2), route("r-watch", watch, 0, 2500, 2.2),
		},
		"Services": []any{map[string]any{
			"Name": l.fleet.service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// start starts the deployment: n nodes, and racks of workers whose kinds are given.
// change adapts the settings of the nodes, or is nil.
func start(dir, binary string, n int, racks [][]string, change func(map[string]any)) *lab {
	l := &lab{dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	l.judge = newJudge(filepath.Join(dir, "record.txt"))
	l.store = newStore()
	l.fleet = &fleet{store: l.store, judge: l.judge, capacity: capacity, service: "teiki", lives: map[string]*life{}}
	l.judge.fleet = l.fleet
	l.configure()
	work, err := os.MkdirTemp("", "lab")
	if err != nil {
		giveUp("%v", err)
	}
	l.cluster = newCluster(work, binary, l.judge, l.store, n, change)
	l.clients = &clients{judge: l.judge, nodes: l.cluster.fronts, host: host}
	running = l
	for r, kinds := range racks {
		for i, kind := range kinds {
			l.fleet.start(fmt.Sprintf("i-%d%07d", r+1, i+1), kind, fmt.Sprintf("r-%d", r+1), fmt.Sprintf("z%d", r%3+1), "")
		}
	}
	for _, nd := range l.cluster.nodes {
		l.cluster.start(nd)
	}
	l.cluster.awaitReady()
	time.Sleep(3 * time.Second) // the shards are owned, and their workers have answered
	return l
}

// finish ends the processes and the program.
func (l *lab) finish() {
	l.cluster.stopAll()
	l.judge.mu.Lock()
	defer l.judge.mu.Unlock()
	l.judge.logLocked("ends: %v", l.judge.ends)
	fmt.Printf("ends: %v\n", l.judge.ends)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.cluster.dir)
	} else {
		fmt.Println("logs:", l.cluster.dir)
	}
	if len(l.judge.violations) > 0 {
		fmt.Printf("broken: %v\n  %s\n", l.judge.counts, strings.Join(l.judge.violations, "\n  "))
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

func main() {
	dir := flag.String("dir", ".", "folder for record.txt")
	binary := flag.String("node", "target/skylark-node", "program of a node")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		giveUp("no case %q", flag.Arg(0))
	}
	time.AfterFunc(longest, func() { giveUp("the case takes too long") })
	run(*dir, *binary)
}
