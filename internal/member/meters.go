package member

import (
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/meter"
)

// meterInterval is the minimum time between two updates of the metrics.
const meterInterval = time.Second

// meters are the metrics of the membership.
type meters struct {
	bytes          *meter.Bytes
	in, out        tally.Counter
	heartbeatsSent tally.Counter
	states         map[State]tally.Gauge
	lastIn         int64
	lastOut        int64
	lastUpdate     time.Duration
}

func newMeters(scope tally.Scope, bytes *meter.Bytes) *meters {
	scope = scope.SubScope("peer")
	states := map[State]tally.Gauge{}
	for _, s := range statePrecedence {
		states[s] = scope.Tagged(map[string]string{"state": string(s)}).Gauge("count")
	}
	return &meters{
		bytes:          bytes,
		in:             scope.Counter("bytes_in"),
		out:            scope.Counter("bytes_out"),
		heartbeatsSent: scope.Counter("heartbeats_sent"),
		states:         states,
		lastUpdate:     -meterInterval,
	}
}

// update updates the metrics, at most once in meterInterval.
func (m *meters) update(now time.Duration, v *View) {
	if now-m.lastUpdate < meterInterval {
		return
	}
	m.lastUpdate = now
	in, out := m.bytes.In.Load(), m.bytes.Out.Load()
	m.in.Inc(in - m.lastIn)
	m.out.Inc(out - m.lastOut)
	m.lastIn, m.lastOut = in, out
	count := map[State]int{}
	for _, p := range v.Peers {
		count[p.State]++
	}
	for s, g := range m.states {
		g.Update(float64(count[s]))
	}
}
