package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"

	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

const maxPort = 65535

// Load reads and checks the settings file.
func Load(file string) (settings.Standin, error) {
	var cfg settings.Standin
	b, err := os.ReadFile(file)
	if err != nil {
		return cfg, result.Wrap(result.SettingsUnreadable, err, file)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&cfg); err != nil {
		return cfg, result.Wrap(result.SettingsSyntax, err, file)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return cfg, result.Errorf(result.SettingsTrailing, "%s: data after the settings", file)
	}
	return cfg, Check(cfg)
}

// Check reports the first fault of cfg.
func Check(cfg settings.Standin) error {
	if err := checkLoopback("listen", cfg.Listen); err != nil {
		return err
	}
	ip, err := netip.ParseAddr(cfg.Workers.IP)
	if cfg.Workers.IP != "" && (err != nil || !ip.IsLoopback()) {
		return result.Errorf(result.SettingsAddress, "workers.ip: %q is not a loopback IP number", cfg.Workers.IP)
	}
	workers := 0
	seen := map[string]bool{}
	for _, z := range cfg.Zones {
		if z.Name == "" || z.Name == PlatformZone {
			return result.Errorf(result.SettingsZone, "zones: name %q", z.Name)
		}
		if seen[z.Name] {
			return result.Errorf(result.SettingsDuplicate, "zones: %s", z.Name)
		}
		seen[z.Name] = true
		workers += z.Workers
	}
	last := cfg.Workers.BasePort + 2*workers
	if cfg.Workers.BasePort <= 0 || last > maxPort {
		return result.Errorf(result.SettingsRange, "workers.base_port: ports %d to %d are not in 1 to %d", cfg.Workers.BasePort, last, maxPort)
	}
	if !cfg.Workers.Capacity.Valid() || cfg.Workers.Capacity.IsZero() {
		return result.Errorf(result.SettingsRange, "workers.capacity: %+v", cfg.Workers.Capacity)
	}
	return checkEntries(cfg, seen)
}

func checkEntries(cfg settings.Standin, zones map[string]bool) error {
	seen := map[string]bool{}
	for _, e := range cfg.Entries {
		if !zones[e.Zone] {
			return result.Errorf(result.SettingsZone, "entries: zone %q of %s is not in zones", e.Zone, e.ID)
		}
		for _, name := range []string{e.ID, e.EntryPeer, e.SchedulerPeer} {
			if name == "" {
				return result.Errorf(result.SettingsMissing, "entries: %q needs id, entry_peer and scheduler_peer", e.ID)
			}
			if seen[name] {
				return result.Errorf(result.SettingsDuplicate, "entries: %s", name)
			}
			seen[name] = true
		}
		if err := checkLoopback("entries.entry_peer", e.EntryPeer); err != nil {
			return err
		}
		if err := checkLoopback("entries.scheduler_peer", e.SchedulerPeer); err != nil {
			return err
		}
	}
	return nil
}

func checkLoopback(field, addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().IsLoopback() {
		return result.Errorf(result.SettingsAddress, "%s: %q is not a loopback IP:port", field, addr)
	}
	return nil
}
