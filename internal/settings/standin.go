package settings

import (
	"fmt"
	"net/netip"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Standin is the settings of skylark-standin. Every address is on loopback.
type Standin struct {
	Listen         string           `json:"listen"` // IP:port of the platform's services and the admin endpoint
	Workers        StandinWorkers   `json:"workers"`
	Zones          []StandinZone    `json:"zones"`
	Entries        []StandinEntry   `json:"entries"`         // entry instances of the list
	ListLag        job.Duration     `json:"list_lag"`        // of the instance list
	WritesPerSec   int              `json:"writes_per_sec"`  // rows; zero for no limit
	ReadsPerSec    int              `json:"reads_per_sec"`   // rows; zero for no limit
	CallTimeout    job.Duration     `json:"call_timeout"`    // after which a held call breaks off
	Families       []StandinFamily  `json:"families"`        // true behaviour of the work
	Disturbances   []StandinDisturb `json:"disturbances"`    // between families on one worker
	UsageLag       job.Duration     `json:"usage_lag"`       // of usage reports
	StopDrain      job.Duration     `json:"stop_drain"`      // limit for a stopped service's requests in flight
	HistoryRecords int              `json:"history_records"` // kept per kind of record
	Log            Log              `json:"log"`
}

// StandinWorkers is what all workers have in common.
type StandinWorkers struct {
	IP       string          `json:"ip"`
	BasePort int             `json:"base_port"` // worker n listens on BasePort+2n (control) and BasePort+2n+1 (data)
	RackSize int             `json:"rack_size"` // workers per rack
	Capacity resource.Vector `json:"capacity"`
	Slots    int             `json:"slots"` // concurrent requests of a worker
	Conns    int             `json:"conns"` // connections of a worker
}

// StandinZone is an availability zone with its workers.
type StandinZone struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
}

// StandinEntry is an entry instance of the platform's list.
type StandinEntry struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	EntryPeer     string `json:"entry_peer"`     // IP:port
	SchedulerPeer string `json:"scheduler_peer"` // IP:port
}

// StandinFamily is the true behaviour of the tasks of a family, which the
// system only sees in usage reports.
type StandinFamily struct {
	Name         string          `json:"name"`
	RunTimeScale float64         `json:"run_time_scale"` // true run time over the declared one; zero for 1
	Units        int64           `json:"units"`          // work units where no run time is declared
	Use          resource.Vector `json:"use"`            // true use per task; zero for half of the commitment
	ServiceTime  job.Duration    `json:"service_time"`   // of a request, undisturbed
}

// StandinDisturb says how much a neighbour slows a family down.
type StandinDisturb struct {
	Victim   string  `json:"victim"`   // family
	Noisy    string  `json:"noisy"`    // family
	Slowdown float64 `json:"slowdown"` // added per neighbour to a factor that starts at 1
}

// StandinPlatform names the platform's services as an end of a cut; no
// availability zone may have this name.
const StandinPlatform = "platform"

const (
	maxPort         = 65535
	maxPerSecond    = 1_000_000
	maxListLag      = time.Hour
	maxStandinDrain = time.Hour
	maxRecords      = 10_000_000
	maxZoneWorkers  = 10_000
	portsPerWorker  = 2
)

// LoadStandin reads and checks the settings of skylark-standin. The error joins
// every Fault of the file.
func LoadStandin(file string) (*Standin, error) { return load(file, checkStandin) }

func checkStandin(s *Standin, c *checker) {
	c.loopback("listen", s.Listen)
	workers := checkStandinZones(s, c)
	checkStandinWorkers(&s.Workers, workers, c)
	checkStandinEntries(s, c)
	c.duration("list_lag", s.ListLag, 0, maxListLag)
	c.number("writes_per_sec", s.WritesPerSec, 0, maxPerSecond)
	c.number("reads_per_sec", s.ReadsPerSec, 0, maxPerSecond)
	c.duration("call_timeout", s.CallTimeout, minCall, maxCall)
	c.duration("usage_lag", s.UsageLag, 0, maxListLag)
	c.duration("stop_drain", s.StopDrain, 0, maxStandinDrain)
	c.number("history_records", s.HistoryRecords, 1, maxRecords)
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
}

// checkStandinZones returns how many workers there are.
func checkStandinZones(s *Standin, c *checker) int {
	total := 0
	seen := map[string]bool{StandinPlatform: true}
	for i, z := range s.Zones {
		at := fmt.Sprintf("zones[%d]", i)
		c.name(at+".name", z.Name)
		if seen[z.Name] {
			c.add(result.SettingsDuplicate, at+".name", "each zone once and none named %q", StandinPlatform)
		}
		seen[z.Name] = true
		c.number(at+".workers", z.Workers, 0, maxZoneWorkers)
		total += z.Workers
	}
	return total
}

func checkStandinWorkers(w *StandinWorkers, count int, c *checker) {
	if ip, err := netip.ParseAddr(w.IP); err != nil || !ip.IsLoopback() {
		c.add(result.SettingsAddress, "workers.ip", "a loopback IP number, not %q", w.IP)
	}
	c.number("workers.base_port", w.BasePort, 1, max(1, maxPort-portsPerWorker*count))
	c.number("workers.rack_size", w.RackSize, 1, maxZoneWorkers)
	c.number("workers.slots", w.Slots, 1, maxPerSecond)
	c.number("workers.conns", w.Conns, 1, maxPerSecond)
	if !w.Capacity.Valid() || w.Capacity.IsZero() {
		c.add(result.SettingsRange, "workers.capacity", "an amount above zero")
	}
}

func checkStandinEntries(s *Standin, c *checker) {
	seen := map[string]bool{s.Listen: true}
	for i, e := range s.Entries {
		at := fmt.Sprintf("entries[%d]", i)
		c.name(at+".id", e.ID)
		if !s.hasZone(e.Zone) {
			c.add(result.SettingsZone, at+".zone", "one of zones, not %q", e.Zone)
		}
		c.loopback(at+".entry_peer", e.EntryPeer)
		c.loopback(at+".scheduler_peer", e.SchedulerPeer)
		for _, f := range []named{{at + ".id", e.ID}, {at + ".entry_peer", e.EntryPeer}, {at + ".scheduler_peer", e.SchedulerPeer}} {
			if seen[f.value] {
				c.add(result.SettingsDuplicate, f.path, "%q once", f.value)
			}
			seen[f.value] = true
		}
	}
}

func (s *Standin) hasZone(name string) bool {
	for _, z := range s.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

func (c *checker) loopback(path, v string) {
	if a, err := parseAddress(v); err != nil || !a.Addr().IsLoopback() {
		c.add(result.SettingsAddress, path, "a loopback IP number with a port such as 127.0.0.1:7000, not %q", v)
	}
}
