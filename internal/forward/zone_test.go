package forward

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"skylarkport/internal/result"
)

// other is a Zones with the entries of other zones.
type other struct{ bases atomic.Pointer[[]*url.URL] }

func (o *other) Elsewhere() []*url.URL {
	if p := o.bases.Load(); p != nil {
		return *p
	}
	return nil
}

func (o *other) set(t *testing.T, b *bench) {
	t.Helper()
	u, err := url.Parse(b.entry.URL)
	if err != nil {
		t.Fatal(err)
	}
	o.bases.Store(&[]*url.URL{u})
}

func withZones(z Zones) option { return func(_ *bench, c *Config) { c.Zones = z } }

// TestOtherZone takes the own zone's upstreams away: the request goes through
// the other zone's entry, and never in a circle.
func TestOtherZone(t *testing.T) {
	for _, kind := range []string{"get", "post", "keyed"} {
		t.Run(kind, func(t *testing.T) {
			toHere, toThere := &other{}, &other{}
			here := newBench(t, 1, withZones(toThere), withKeys(newMemoryKeys()))
			there := newBench(t, 1, withZones(toHere), withKeys(newMemoryKeys()))
			toThere.set(t, there)
			toHere.set(t, here)

			checkCell(t, here.do(context.Background(), request(kind)), result.OK, false)
			if here.up.runs.Load() != 1 || there.up.runs.Load() != 0 {
				t.Errorf("the own zone was not first: %d and %d runs", here.up.runs.Load(), there.up.runs.Load())
			}
			q := request(kind)
			if kind == "keyed" {
				q.header[HeaderKey] = "k2"
			}
			here.publish(2, map[int]bool{0: true})
			checkCell(t, here.do(context.Background(), q), result.OK, false)
			if there.up.runs.Load() != 1 {
				t.Errorf("%d runs in the other zone, want 1", there.up.runs.Load())
			}
			if kind == "keyed" {
				checkCell(t, here.do(context.Background(), q), result.OK, false)
				if there.up.runs.Load() != 1 {
					t.Errorf("the keyed request ran %d times", there.up.runs.Load())
				}
				q.header[HeaderKey] = "k3"
			}
			there.publish(2, map[int]bool{0: true})
			checkCell(t, here.do(context.Background(), q), result.NoUpstream, true)
			here.idle()
			there.idle()
		})
	}
}

// TestOtherZoneBreaksOff checks that a request that may have run elsewhere is
// not said to be not run.
func TestOtherZoneBreaksOff(t *testing.T) {
	zones := &other{}
	here := newBench(t, 1, withZones(zones))
	there := newBench(t, 1)
	zones.set(t, there)
	here.publish(2, map[int]bool{0: true})
	there.up.set(faults["dies after effect"](there.up))
	checkCell(t, here.do(context.Background(), request("post")), result.OutcomeUnknown, false)
	there.entry.Close()
	// On a connection that was used and whose end is not noticed yet the
	// request is written, and its outcome is not known.
	here.handler.zones.(*http.Transport).CloseIdleConnections()
	checkCell(t, here.do(context.Background(), request("post")), result.NoUpstream, true)
}
