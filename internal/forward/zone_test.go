package forward

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"skylarkport/internal/result"
)

// otherZone is a Zones with at most one entry of another zone.
type otherZone struct{ bases atomic.Pointer[[]*url.URL] }

func (o *otherZone) OtherZoneEntries() []*url.URL {
	if p := o.bases.Load(); p != nil {
		return *p
	}
	return nil
}

func (o *otherZone) set(t *testing.T, env *testEnv) {
	t.Helper()
	u, err := url.Parse(env.entry.URL)
	if err != nil {
		t.Fatal(err)
	}
	o.bases.Store(&[]*url.URL{u})
}

func withZones(z Zones) option { return func(_ *testEnv, c *Config) { c.Zones = z } }

// TestOtherZone removes the upstreams of the own zone. Requests must go through the
// entry of the other zone, and must not be sent back when that zone has no upstream
// either.
func TestOtherZone(t *testing.T) {
	for _, kind := range []string{"get", "post", "keyed"} {
		t.Run(kind, func(t *testing.T) {
			toHere, toThere := &otherZone{}, &otherZone{}
			here := newTestEnv(t, 1, withZones(toThere), withKeys(newMemoryKeyStore()))
			there := newTestEnv(t, 1, withZones(toHere), withKeys(newMemoryKeyStore()))
			toThere.set(t, there)
			toHere.set(t, here)

			checkResponse(t, here.send(context.Background(), request(kind)), result.OK, false)
			if here.upstreams.runs.Load() != 1 || there.upstreams.runs.Load() != 0 {
				t.Errorf("the own zone was not preferred: %d runs there, %d in the other zone", here.upstreams.runs.Load(), there.upstreams.runs.Load())
			}
			q := request(kind)
			if kind == "keyed" {
				q.header[HeaderIdempotencyKey] = "k2"
			}
			here.publish(2, map[int]bool{0: true})
			checkResponse(t, here.send(context.Background(), q), result.OK, false)
			if there.upstreams.runs.Load() != 1 {
				t.Errorf("%d runs in the other zone, want 1", there.upstreams.runs.Load())
			}
			if kind == "keyed" {
				checkResponse(t, here.send(context.Background(), q), result.OK, false)
				if there.upstreams.runs.Load() != 1 {
					t.Errorf("the request with a key ran %d times", there.upstreams.runs.Load())
				}
				q.header[HeaderIdempotencyKey] = "k3"
			}
			there.publish(2, map[int]bool{0: true})
			checkResponse(t, here.send(context.Background(), q), result.NoUpstream, true)
			here.checkIdle()
			there.checkIdle()
		})
	}
}

// TestOtherZoneConnectionBreaks checks that a request that may have run in another zone is
// not reported as not run.
func TestOtherZoneConnectionBreaks(t *testing.T) {
	zones := &otherZone{}
	here := newTestEnv(t, 1, withZones(zones))
	there := newTestEnv(t, 1)
	zones.set(t, there)
	here.publish(2, map[int]bool{0: true})
	there.upstreams.setScript(faults["dies after effect"](there.upstreams))
	checkResponse(t, here.send(context.Background(), request("post")), result.OutcomeUnknown, false)
	there.entry.Close()
	// Without this, the request could be written on a reused connection whose end
	// the transport has not noticed yet, and its outcome would be unknown.
	here.handler.zoneTransport.(*http.Transport).CloseIdleConnections()
	checkResponse(t, here.send(context.Background(), request("post")), result.NoUpstream, true)
}
