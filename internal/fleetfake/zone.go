package fleetfake

import (
	"fmt"
	"strings"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/result"
)

// ZoneBound is the time after which a start in a zone out of use is a violation.
const ZoneBound = 5 * time.Second

// tableZones holds a row for each zone that is out of use.
const tableZones = "zones"

// SetOutOfUse takes a zone out of use, or puts it back into use. The request holds value.
func (w *Workers) SetOutOfUse(zone string, outOfUse bool, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	row := fleet.Row{Table: tableZones, Key: "out/" + zone, Value: []byte(value)}
	if !outOfUse {
		delete(w.outOfUse, zone)
		w.store.apply(fleet.Tx{Delete: []fleet.Row{row}})
		return
	}
	w.outOfUse[zone] = time.Now()
	w.store.apply(fleet.Tx{Put: []fleet.Row{row}})
}

// checkZone records a violation if a start is sent to a worker whose zone has been out of use for
// longer than ZoneBound.
func (w *Workers) checkZone(s *fleet.Start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if since, ok := w.outOfUse[s.Worker.Zone]; ok && time.Since(since) > ZoneBound {
		w.violations = append(w.violations, fmt.Sprintf("%s run %d sent to zone %s, out of use for %s", s.Task, s.Run, s.Worker.Zone, time.Since(since)))
	}
}

// Location implements fleet.ZoneSource.
func (w *Workers) Location() (table, from, to string) { return tableZones, "out/", "out0" }

// Zone implements fleet.ZoneSource. The content of a request must be empty.
func (w *Workers) Zone(r fleet.Row) (string, error) {
	zone := strings.TrimPrefix(r.Key, "out/")
	if len(r.Value) > 0 {
		return zone, result.Errorf(result.ZoneRequestBad, "%q", r.Value)
	}
	return zone, nil
}
