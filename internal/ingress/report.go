package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarkport/internal/budget"
	"skylarkport/internal/obs"
)

var logger = obs.Logger("ingress")

// logInterval is the least time between two log lines of a port.
const logInterval = time.Second

// reason says why a client was refused.
type reason string

const (
	reasonConnections reason = "connections"  // no room for one more connection
	reasonHeader      reason = "header"       // no room for the rest of a header
	reasonHeaderLimit reason = "header limit" // the header exceeds the limit in force
	reasonBody        reason = "body"         // no room for the rest of a body, or for decoding it
	reasonMessage     reason = "message"      // no room for the rest of a message, or for handling it
)

// report counts and logs what a port refuses.
type report struct {
	port   string
	budget *budget.Budget

	refusedCount, evictedCount tally.Counter
	connections, held          tally.Gauge

	mu       sync.Mutex
	loggedAt time.Time
	skipped  int // refusals and evictions since the last line
}

func newReport(port string, scope tally.Scope, b *budget.Budget) *report {
	s := scope.SubScope("ingress").Tagged(map[string]string{"port": port})
	return &report{
		port: port, budget: b,
		refusedCount: s.Counter("refused"), evictedCount: s.Counter("evicted"),
		connections: s.Gauge("connections"), held: s.Gauge("held_bytes"),
	}
}

// refused records that a client got no room.
func (r *report) refused(client net.Addr, why reason) {
	r.refusedCount.Inc(1)
	r.log(client, "client refused", string(why))
}

// evicted records that a client had to make room, and in which phase of a request.
func (r *report) evicted(client net.Addr, during string) {
	r.evictedCount.Inc(1)
	r.log(client, "client evicted", during)
}

// update sets the gauges.
func (r *report) update() {
	s := r.budget.Stats()
	r.connections.Update(float64(s.Holders))
	r.held.Update(float64(s.Held))
}

// log writes a line about a client, unless another was written within logInterval.
func (r *report) log(client net.Addr, message, reason string) {
	r.mu.Lock()
	if time.Since(r.loggedAt) < logInterval {
		r.skipped++
		r.mu.Unlock()
		return
	}
	skipped := r.skipped
	r.loggedAt, r.skipped = time.Now(), 0
	r.mu.Unlock()
	s := r.budget.Stats()
	r.update()
	logger.WithField("port", r.port).WithField("client", client.String()).WithField("reason", reason).
		WithField("others", skipped).WithField("refused", s.Refused).WithField("evicted", s.Evicted).
		WithField("connections", s.Holders).WithField("held_bytes", s.Held).WithField("limit_bytes", r.budget.Share().Bytes).
		Warn(message)
}
