package settings

import (
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
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
