package settings

import (
	"net/netip"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Node is the settings of skylark-node.
type Node struct {
	Instance string   `json:"instance"` // name of the instance
	Zone     string   `json:"zone"`
	Zones    []string `json:"zones"` // all availability zones, in any order
	Front    string   `json:"front"` // address for callers
	Ready    string   `json:"ready"` // address for readiness checks
	Control  string   `json:"control"`
	Metrics  string   `json:"metrics"` // address for scrapes, or empty
	Seeds    []string `json:"seeds"`   // control addresses of some instances
	Store    string   `json:"store"`
	Adviser  string   `json:"adviser"` // empty where there is none
	Machine  Machine  `json:"machine"`
	Bounds   Bounds   `json:"bounds"`
	LogLevel string   `json:"log_level"`
}

// Machine is what the instance may use. Zero stands for unknown.
type Machine struct {
	CPUShare float64 `json:"cpu_share"` // of a core
	CPUSpeed float64 `json:"cpu_speed"` // speed of that core, 1 for a usual one
	LinkMbps float64 `json:"link_mbps"` // megabits a second
}

// Cores is the processor in usual cores.
func (m Machine) Cores() float64 { return m.CPUShare * m.CPUSpeed }

// Bounds are figures of the platform that the node keeps to.
type Bounds struct {
	LeaseMax   job.Duration `json:"lease_max"`   // longest lease that a worker grants
	GangWait   job.Duration `json:"gang_wait"`   // how long a gang's members wait for each other
	KeepEnded  job.Duration `json:"keep_ended"`  // how long an ended job's state stays readable
	EarlyStart job.Duration `json:"early_start"` // how much before its time an occurrence may start
	Impact     job.Duration `json:"impact"`      // how long a tail may be over its target
	Grace      job.Duration `json:"grace"`       // from SIGTERM to SIGKILL
}

// LoadNode reads and checks the settings of skylark-node. The error joins every
// Fault of the file.
func LoadNode(file string) (*Node, error) { return load(file, checkNode) }

// shortestGrace is needed to be taken out of the balancer and to hand shards over.
const shortestGrace = time.Second

func checkNode(s *Node, c *checker) {
	if s.Instance == "" {
		c.add(result.SettingsMissing, "instance", "a name")
	}
	known := false
	for _, z := range s.Zones {
		known = known || z == s.Zone
	}
	if !known {
		c.add(result.SettingsZone, "zone", "one of zones")
	}
	required := map[string]string{"front": s.Front, "ready": s.Ready, "control": s.Control, "store": s.Store}
	for path, a := range required {
		if _, err := netip.ParseAddrPort(a); err != nil {
			c.add(result.SettingsAddress, path, "an IP number and a port")
		}
	}
	for path, a := range map[string]string{"adviser": s.Adviser, "metrics": s.Metrics} {
		if _, err := netip.ParseAddrPort(a); a != "" && err != nil {
			c.add(result.SettingsAddress, path, "an IP number and a port, or nothing")
		}
	}
	if s.Machine.CPUShare < 0 || s.Machine.CPUSpeed < 0 || s.Machine.LinkMbps < 0 {
		c.add(result.SettingsRange, "machine", "no negative amounts")
	}
	if s.Bounds.LeaseMax <= 0 {
		c.add(result.SettingsRange, "bounds.lease_max", "a positive duration")
	}
	if s.Bounds.Grace.D() < shortestGrace {
		c.add(result.SettingsRange, "bounds.grace", "at least 1s")
	}
}
