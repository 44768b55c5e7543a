package settings

import (
	"net/netip"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// Node holds the settings of skylark-node.
type Node struct {
	Instance string   `json:"instance"` // name of the instance
	Zone     string   `json:"zone"`
	Zones    []string `json:"zones"`   // all availability zones, in any order
	Front    string   `json:"front"`   // IP:port for callers
	Ready    string   `json:"ready"`   // IP:port for readiness checks
	Control  string   `json:"control"` // IP:port for the other instances
	Metrics  string   `json:"metrics"` // IP:port for metric scrapes, or empty
	Seeds    []string `json:"seeds"`   // control addresses of some instances
	Store    string   `json:"store"`   // IP:port of the store
	Adviser  string   `json:"adviser"` // IP:port of the adviser, or empty
	Machine  Machine  `json:"machine"`
	Bounds   Bounds   `json:"bounds"`
	Features Features `json:"features"`
	LogLevel string   `json:"log_level"`
}

// Features are policies of the batch side that a deployment uses or not. Each is "on", "off"
// or "auto"; auto means on where workers take at least StopFrom to stop a run: room for urgent
// work cannot be made at once there, so it has to be planned ahead.
type Features struct {
	StopFrom     job.Duration `json:"stop_from"`
	Admission    string       `json:"admission"`    // refuse jobs that cannot end in time
	Order        string       `json:"order"`        // order of the queue, fair shares and preemption by what can still end in time
	Reservations string       `json:"reservations"` // capacity reserved for tasks too large for any gap
}

// Values of a feature's setting.
const (
	FeatureOn   = "on"
	FeatureOff  = "off"
	FeatureAuto = "auto"
)

// Enabled reports whether a feature with the given value is in use where workers take stop to
// stop a run. An empty value means off.
func (f *Features) Enabled(value string, stop time.Duration) bool {
	return value == FeatureOn || value == FeatureAuto && stop >= f.StopFrom.D()
}

// Machine holds the resources that the instance may use. Zero means unknown.
type Machine struct {
	CPUShare float64 `json:"cpu_share"` // share of a core that the instance may use
	CPUSpeed float64 `json:"cpu_speed"` // speed of that core relative to a standard core
	LinkMbps float64 `json:"link_mbps"` // megabits per second
	Resources
}

// Cores returns the processor capacity in standard cores.
func (m Machine) Cores() float64 { return m.CPUShare * m.CPUSpeed }

// Bounds are limits of the platform that the node observes.
type Bounds struct {
	LeaseMax       job.Duration `json:"lease_max"`           // longest lease that a worker accepts
	GangWait       job.Duration `json:"gang_wait"`           // how long a gang's members wait for each other
	EndedRetention job.Duration `json:"keep_ended"`          // how long the state of an ended job stays readable
	EarlyStart     job.Duration `json:"early_start"`         // how long before its scheduled time an occurrence may start
	MaxOverTarget  job.Duration `json:"impact"`              // how long a tail latency may exceed its target
	Grace          job.Duration `json:"grace"`               // time between SIGTERM and SIGKILL
	Stop           job.Duration `json:"stop"`                // longest time in which a worker stops a run; 0 if unknown
	RowBytes       int          `json:"row_bytes,omitempty"` // largest value of a row of the store, in bytes; 0 if unknown
	Evacuate       job.Duration `json:"evacuate"`            // after this time no run may start in a zone taken out of use; 0 if zones are not taken out of use
}

// LoadNode reads and validates the settings of skylark-node. The error joins every
// FieldError of the file.
func LoadNode(file string) (*Node, error) { return load(file, checkNode) }

// minGrace is the time that an instance needs to be removed from the load balancer
// and to hand over its shards before it is killed.
const minGrace = time.Second

// minEvacuate is the time that an instance needs to learn that a zone has been taken out of use.
const minEvacuate = time.Second

// minRowBytes is the least size of a row, in bytes, that holds the progress of a job.
const minRowBytes = 16 << 10

func checkNode(s *Node, c *checker) {
	if s.Instance == "" {
		c.add(result.SettingsMissing, "instance", "a name")
	}
	zoneKnown := false
	for _, z := range s.Zones {
		zoneKnown = zoneKnown || z == s.Zone
	}
	if !zoneKnown {
		c.add(result.SettingsZone, "zone", "one of zones")
	}
	required := map[string]string{"front": s.Front, "ready": s.Ready, "control": s.Control, "store": s.Store}
	for path, a := range required {
		if _, err := netip.ParseAddrPort(a); err != nil {
			c.add(result.SettingsAddress, path, "an IP address and a port")
		}
	}
	for path, a := range map[string]string{"adviser": s.Adviser, "metrics": s.Metrics} {
		if _, err := netip.ParseAddrPort(a); a != "" && err != nil {
			c.add(result.SettingsAddress, path, "an IP address and a port, or nothing")
		}
	}
	if s.Machine.CPUShare < 0 || s.Machine.CPUSpeed < 0 || s.Machine.LinkMbps < 0 {
		c.add(result.SettingsRange, "machine", "no negative amounts")
	}
	s.Machine.check(c)
	if s.Bounds.LeaseMax <= 0 {
		c.add(result.SettingsRange, "bounds.lease_max", "a positive duration")
	}
	if s.Bounds.Grace.D() < minGrace {
		c.add(result.SettingsRange, "bounds.grace", "at least 1s")
	}
	if s.Bounds.Stop < 0 {
		c.add(result.SettingsRange, "bounds.stop", "no negative duration")
	}
	if n := s.Bounds.RowBytes; n != 0 && n < minRowBytes {
		c.add(result.SettingsRange, "bounds.row_bytes", "at least 16384, or 0")
	}
	if e := s.Bounds.Evacuate.D(); e != 0 && e < minEvacuate {
		c.add(result.SettingsRange, "bounds.evacuate", "at least 1s, or 0")
	}
	if s.Features.StopFrom < 0 {
		c.add(result.SettingsRange, "features.stop_from", "no negative duration")
	}
	for path, v := range map[string]string{
		"features.admission": s.Features.Admission, "features.order": s.Features.Order, "features.reservations": s.Features.Reservations,
	} {
		c.oneOf(path, v, "", FeatureOn, FeatureOff, FeatureAuto)
	}
}
