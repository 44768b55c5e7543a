package shard

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/resource"
	"skylarkport/internal/settings"
	"skylarkport/internal/standin"
)

// TestQuotaAcrossShards guards against two shards together committing more than an
// organisation's quota, which lost replies and racing writes of the quota row could
// cause. It also checks that unused escrow is returned and that every task finishes.
func TestQuotaAcrossShards(t *testing.T) {
	tests := []struct {
		name  string
		fault *standin.Fault
	}{
		{"no fault", nil},
		{"responses lost", &standin.Fault{Kind: standin.LostResponse, Target: "tables", Count: 20}},
		{"writes late", &standin.Fault{Kind: standin.Late, Target: "tables", Delay: job.Duration(2 * time.Second), Duration: job.Duration(20 * time.Second)}},
		{"tables slow", &standin.Fault{Kind: standin.Slow, Target: "tables", Delay: job.Duration(700 * time.Millisecond), Duration: job.Duration(time.Minute)}},
	}
	quota := resource.Vector{MilliCPU: 4000, MemoryMB: 4000}
	// The first bundle of a deployment has version 0.
	conf := &bundle.Bundle{Version: 0, Organisations: []bundle.Organisation{{Name: "kizuna", Weight: 1, Quota: quota}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 4, settings.Standin{})
				var owners []*Owner
				for i := range 2 {
					ext := env.platform("a")
					ext.Fleet = func() []contract.Instance { return env.fleet()[2*i : 2*i+2] }
					ext.Bundle = func() *bundle.Bundle { return conf }
					cfg := env.cfg
					cfg.Shard, cfg.Owner = Name(testZone, i), Name("o", i)
					r, err := env.openOwnerWithPolicy(cfg, ext, NewPolicy(placementDefaults))
					if err != nil {
						t.Fatal(err)
					}
					owners = append(owners, r.o)
				}
				time.Sleep(3 * time.Second)
				if tt.fault != nil {
					if err := env.sys.Inject(*tt.fault); err != nil {
						t.Fatal(err)
					}
				}
				env.submitWithRetry(batch("first", 12, 10*time.Second))
				second := batch("second", 12, 10*time.Second)
				env.sendTo(Name(testZone, 1), Message{Admit: &AdmitRecord{Spec: &second, Submitted: time.Now().UnixMilli(), To: 12}})
				for range 3000 {
					time.Sleep(100 * time.Millisecond)
					var held resource.Vector
					for _, o := range owners {
						o.mu.Lock()
						held = held.Add(o.decidedState.OrganisationHeld("kizuna"))
						o.mu.Unlock()
					}
					if !held.Fits(quota) {
						t.Fatalf("%+v held, which exceeds the quota of %+v", held, quota)
					}
				}
				env.checkQuota(owners, quota)
				env.close()
				env.mustAudit(history.Expectation{Job: "first", Finished: 12}, history.Expectation{Job: "second", Finished: 12})
			})
		})
	}
}

// checkQuota checks that the free part is the whole quota and that no shard holds
// escrow any more.
func (env *testEnv) checkQuota(owners []*Owner, quota resource.Vector) {
	env.t.Helper()
	r, err := env.sys.Tables(observer).Read(env.t.Context(), quotaKey("kizuna"))
	if err != nil {
		env.t.Fatal(err)
	}
	var row quotaRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		env.t.Fatal(err)
	}
	if row.Free != quota {
		env.t.Errorf("free %+v, want the whole quota %+v", row.Free, quota)
	}
	for _, o := range owners {
		o.mu.Lock()
		if e := o.decidedState.Escrow["kizuna"]; !e.IsZero() {
			env.t.Errorf("%s still holds %+v", o.cfg.Shard, e)
		}
		o.mu.Unlock()
	}
}
