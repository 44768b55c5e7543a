package settings

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const examples = "../../examples"

// deployment holds what the example of a deployment must contain.
type deployment struct {
	name                       string
	zones                      []string
	minInstances, maxInstances int
	milliCPU                   int64
	memoryMB                   int64
}

var deployments = []deployment{
	{"dosanko", []string{"ishikari", "tokachi", "kamikawa"}, 6, 7, 32_000, 119_209},
	{"cymru", []string{"gogledd", "canolbarth", "de"}, 6, 7, 64_000, 238_418},
}

// TestExamples checks that every example file is valid, that the files of a
// deployment agree, and that no two programs share an address.
func TestExamples(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			standin, err := LoadStandin(filepath.Join(examples, d.name, "standin.json"))
			if err != nil {
				t.Fatal(err)
			}
			checkExampleWorkers(t, d, standin)
			used := map[string]string{standin.Listen: "standin"}
			entries := loadAll(t, d, "entry-*.json", LoadEntry)
			schedulers := loadAll(t, d, "scheduler-*.json", LoadScheduler)
			if n := len(entries); n < d.minInstances || n > d.maxInstances || len(schedulers) != n || len(standin.Entries) != n {
				t.Errorf("%d entries, %d schedulers, %d listed", n, len(schedulers), len(standin.Entries))
			}
			for _, e := range standin.Entries {
				entry, scheduler := entries["entry-"+e.ID+".json"], schedulers["scheduler-"+e.ID+".json"]
				if entry == nil || scheduler == nil {
					t.Errorf("%s has no settings", e.ID)
					continue
				}
				checkExampleCommon(t, d, standin, e, &entry.Common, e.EntryPeer)
				checkExampleCommon(t, d, standin, e, &scheduler.Common, e.SchedulerPeer)
				for _, a := range []string{entry.PeerListen, entry.Listen, scheduler.PeerListen, scheduler.OperatorListen} {
					if used[a] != "" {
						t.Errorf("%s and %s share %s", used[a], e.ID, a)
					}
					used[a] = e.ID
				}
			}
		})
	}
}

func loadAll[T any](t *testing.T, d deployment, pattern string, load func(string) (*T, error)) map[string]*T {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(examples, d.name, pattern))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]*T{}
	for _, file := range files {
		s, err := load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		out[filepath.Base(file)] = s
	}
	return out
}

func checkExampleWorkers(t *testing.T, d deployment, s *Standin) {
	t.Helper()
	var names []string
	workers := 0
	for _, z := range s.Zones {
		names = append(names, z.Name)
		workers += z.Workers
	}
	if !slices.Equal(names, d.zones) || workers != 50 || s.Workers.RackSize != 8 || s.Workers.Slots != 8 || s.Workers.Conns != 64 {
		t.Errorf("zones %v, workers %d, %+v", names, workers, s.Workers)
	}
	if c := s.Workers.Capacity; c.MilliCPU != d.milliCPU || c.MemoryMB != d.memoryMB {
		t.Errorf("capacity %+v", c)
	}
}

func checkExampleCommon(t *testing.T, d deployment, s *Standin, e StandinEntry, c *Common, peer string) {
	t.Helper()
	if c.Deployment != d.name || c.Instance != e.ID || c.Zone != e.Zone || c.PeerListen != peer || !slices.Equal(c.Zones, d.zones) {
		t.Errorf("%s: %+v does not agree with the stand-in's list", e.ID, c)
	}
	if c.Platform.Tables != "http://"+s.Listen || !strings.HasSuffix(c.BundleFile, "bundle.json") {
		t.Errorf("%s: platform %s, bundle %s", e.ID, c.Platform.Tables, c.BundleFile)
	}
}

// TestDevelopmentExamples checks that the files of the development deployment are
// valid.
func TestDevelopmentExamples(t *testing.T) {
	dev := deployment{name: "dev"}
	if n := len(loadAll(t, dev, "entry-*.json", LoadEntry)); n == 0 {
		t.Error("no entry")
	}
	if n := len(loadAll(t, dev, "scheduler-*.json", LoadScheduler)); n == 0 {
		t.Error("no scheduler")
	}
	if _, err := LoadStandin(filepath.Join(examples, dev.name, "standin.json")); err != nil {
		t.Error(err)
	}
}

// TestDevelopmentExample checks that the development deployment has valid settings
// for four entries and four schedulers.
func TestDevelopmentExample(t *testing.T) {
	dir := filepath.Join(examples, "dev")
	if _, err := LoadStandin(filepath.Join(dir, "standin.json")); err != nil {
		t.Error(err)
	}
	d := deployment{name: "dev"}
	if n := len(loadAll(t, d, "entry-*.json", LoadEntry)); n != 4 {
		t.Errorf("%d entries, want 4", n)
	}
	if n := len(loadAll(t, d, "scheduler-*.json", LoadScheduler)); n != 4 {
		t.Errorf("%d schedulers, want 4", n)
	}
}
