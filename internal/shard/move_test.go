package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/history"
	"skylarkport/internal/job"
	"skylarkport/internal/settings"
)

// TestTaskMovesBetweenShards checks that a task that no worker of its shard could hold
// moves to another shard, runs there once, and can be cancelled there. A task that is
// not moved would wait forever.
func TestTaskMovesBetweenShards(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t, 4, settings.Standin{})
			half := func(large bool) Platform {
				p := env.platform("a")
				p.Fleet = func() []contract.Instance {
					list := env.fleet()
					if large {
						return list[2:]
					}
					for i := range list[:2] {
						list[i].Capacity.MemoryMB = 500
					}
					return list[:2]
				}
				return p
			}
			small, large := half(false), half(true)
			small.OtherShardFor = func(*job.Spec) (string, bool) { return Name(testZone, 1), true }
			cfg := env.cfg
			cfg.Owner = "a"
			if _, err := env.openOwnerWithPolicy(cfg, small, NewPolicy(placementDefaults)); err != nil {
				t.Fatal(err)
			}
			cfg.Shard, cfg.Owner = Name(testZone, 1), "b"
			b, err := env.openOwnerWithPolicy(cfg, large, NewPolicy(placementDefaults))
			if err != nil {
				t.Fatal(err)
			}
			env.submitWithRetry(batch("renewal", 3, 20*time.Second))
			time.Sleep(10 * time.Second)
			if got := env.states(b.o, "renewal"); got != "running=3" {
				t.Errorf("in the other shard: %s, want running=3", got)
			}
			want, expect := "finished=3", history.Expectation{Job: "renewal", Finished: 3}
			if cancelled {
				env.cancel("renewal")
				want, expect.Finished = "cancelled=3", 0
			}
			time.Sleep(time.Minute)
			if got := env.states(b.o, "renewal"); got != want {
				t.Errorf("at the end: %s, want %s", got, want)
			}
			env.close()
			env.mustAudit(expect)
		})
	}
}
