package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"

	"skylarkport/internal/job"
	"skylarkport/internal/member"
	"skylarkport/internal/obs"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
	"skylarkport/internal/settings"
)

// TestExplainRequest checks that the entry explains a request that it refused, and
// returns no events for an unknown request.
func TestExplainRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		e := c.start("e1")
		time.Sleep(settleTime)
		req, _ := http.NewRequest(http.MethodGet, "http://entry/services/unknown/x", nil)
		req.Header.Set("Skylark-Tenant", "dealer")
		req.Header.Set("X-Request-Id", "r-1")
		resp, err := e.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		for id, want := range map[string]int{"r-1": 1, "r-2": 0} {
			params, _ := json.Marshal(api.ExplainRequest{RequestID: id})
			v, err := c.groups["e1"].handlers[api.MethodExplainRequest](context.Background(), member.Peer{}, params)
			if err != nil {
				t.Fatal(err)
			}
			events := v.(api.RequestEvents).Events
			if len(events) != want {
				t.Fatalf("%s: %d events, want %d", id, len(events), want)
			}
			if want == 1 && !strings.Contains(events[0].Detail, "1302 service-unknown, not run, 0 attempts") {
				t.Errorf("detail %q", events[0].Detail)
			}
		}
		c.release()
		c.stopAll()
	})
}

// TestListenAddressInUse checks the error of an entry whose address is already in use.
func TestListenAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		cfg := &settings.Entry{Listen: l.Addr().String(), MaxHeaderBytes: 1 << 16, MaxInFlight: 10, KeyRanges: 1}
		cfg.Instance, cfg.Zone, cfg.DrainTimeout = "e1", "de", job.Duration(time.Second)
		metrics := obs.NewMetrics("test_taken")
		e := New(cfg, Deps{
			Group:   &fakeGroup{c: c, id: "e1", handlers: map[string]member.Handler{}},
			Bundles: c.platform, Tables: c.platform, Instances: c.platform, Metrics: metrics, Dial: c.upstreams.dial,
		})
		var g run.Group
		e.AddActors(&g)
		if err := g.Run(); result.Of(err) != result.SettingsAddress {
			t.Errorf("the entry ended with %v, want %d", err, result.SettingsAddress)
		}
		_ = metrics.Close()
		c.release()
		c.stopAll()
	})
}
