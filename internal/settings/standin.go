package settings

import (
	"fmt"
	"net/netip"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// Standin holds the settings of skylark-standin, which simulates the platform and its
// workers. Every address must be loopback.
type Standin struct {
	Listen         string                `json:"listen"` // IP:port of the platform's services and the admin endpoint
	Workers        StandinWorkers        `json:"workers"`
	Zones          []StandinZone         `json:"zones"`
	Entries        []StandinEntry        `json:"entries"`         // instances that the platform's instance list contains
	ListLag        job.Duration          `json:"list_lag"`        // delay until a change of the instance list is visible
	WritesPerSec   int                   `json:"writes_per_sec"`  // rows; zero for no limit
	ReadsPerSec    int                   `json:"reads_per_sec"`   // rows; zero for no limit
	CallTimeout    job.Duration          `json:"call_timeout"`    // timeout of calls, including those that an injected fault blocks
	Families       []StandinFamily       `json:"families"`        // actual behaviour of tasks
	Interference   []StandinInterference `json:"disturbances"`    // interference between families on one worker
	UsageLag       job.Duration          `json:"usage_lag"`       // delay of usage reports
	StopDrain      job.Duration          `json:"stop_drain"`      // how long a stopped service may finish its requests in flight
	HistoryRecords int                   `json:"history_records"` // kept per kind of record
	Log            Log                   `json:"log"`
}

// StandinWorkers holds the settings that all simulated workers share.
type StandinWorkers struct {
	IP       string          `json:"ip"`
	BasePort int             `json:"base_port"` // worker n listens on BasePort+2n (control) and BasePort+2n+1 (data)
	RackSize int             `json:"rack_size"` // workers per rack
	Capacity resource.Vector `json:"capacity"`
	Slots    int             `json:"slots"` // concurrent requests per worker
	Conns    int             `json:"conns"` // connections per worker
}

// StandinZone is an availability zone and the number of its workers.
type StandinZone struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
}

// StandinEntry is an instance in the platform's instance list.
type StandinEntry struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	EntryPeer     string `json:"entry_peer"`     // IP:port
	SchedulerPeer string `json:"scheduler_peer"` // IP:port
}

// StandinFamily is the actual behaviour of the tasks of a family. The scheduler learns
// it only from usage reports.
type StandinFamily struct {
	Name         string          `json:"name"`
	RunTimeScale float64         `json:"run_time_scale"` // ratio of the actual to the declared run time; zero for 1
	WorkUnits    int64           `json:"units"`          // work units of a task that declares no run time
	Usage        resource.Vector `json:"use"`            // actual usage per task; zero for half of the commitment
	ServiceTime  job.Duration    `json:"service_time"`   // per request without interference
}

// StandinInterference defines how much a task of one family slows down tasks of another on
// the same worker.
type StandinInterference struct {
	Victim    string  `json:"victim"`   // family
	Neighbour string  `json:"noisy"`    // family
	Slowdown  float64 `json:"slowdown"` // added per neighbouring task to a slowdown factor that starts at 1
}

// StandinPlatformZone names the platform's services as one end of a simulated network
// partition, in place of a zone. No availability zone may have this name.
const StandinPlatformZone = "platform"

const (
	maxPort         = 65535
	maxPerSecond    = 1_000_000
	maxListLag      = time.Hour
	maxStandinDrain = time.Hour
	maxRecords      = 10_000_000
	maxZoneWorkers  = 10_000
	portsPerWorker  = 2
)

// LoadStandin reads and validates the settings of skylark-standin. The error joins
// every FieldError of the file.
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

// checkStandinZones checks the zones and returns the total number of workers.
func checkStandinZones(s *Standin, c *checker) int {
	total := 0
	seen := map[string]bool{StandinPlatformZone: true}
	for i, z := range s.Zones {
		itemPath := fmt.Sprintf("zones[%d]", i)
		c.name(itemPath+".name", z.Name)
		if seen[z.Name] {
			c.add(result.SettingsDuplicate, itemPath+".name", "a unique zone other than %q", StandinPlatformZone)
		}
		seen[z.Name] = true
		c.number(itemPath+".workers", z.Workers, 0, maxZoneWorkers)
		total += z.Workers
	}
	return total
}

func checkStandinWorkers(w *StandinWorkers, count int, c *checker) {
	if ip, err := netip.ParseAddr(w.IP); err != nil || !ip.IsLoopback() {
		c.add(result.SettingsAddress, "workers.ip", "a loopback IP address, not %q", w.IP)
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
		itemPath := fmt.Sprintf("entries[%d]", i)
		c.name(itemPath+".id", e.ID)
		if !s.hasZone(e.Zone) {
			c.add(result.SettingsZone, itemPath+".zone", "one of zones, not %q", e.Zone)
		}
		c.loopback(itemPath+".entry_peer", e.EntryPeer)
		c.loopback(itemPath+".scheduler_peer", e.SchedulerPeer)
		for _, f := range []namedValue{{itemPath + ".id", e.ID}, {itemPath + ".entry_peer", e.EntryPeer}, {itemPath + ".scheduler_peer", e.SchedulerPeer}} {
			if seen[f.value] {
				c.add(result.SettingsDuplicate, f.path, "a unique value, %q is repeated", f.value)
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
		c.add(result.SettingsAddress, path, "a loopback IP address with a port such as 127.0.0.1:7000, not %q", v)
	}
}
