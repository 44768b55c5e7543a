package node

import (
	"testing"
	"time"

	"skylarkport/internal/contract/fleet"
	"skylarkport/internal/fleetfake"
	"skylarkport/internal/workload"
)

// Guards against a configuration that drops a queue between two readings ending the process.
func TestQueueDroppedWhileAShardIsChosen(t *testing.T) {
	n := nodeWithoutPeers(t, fleetfake.NewStore())
	o := n.owners.otherShardsOf("z0-0", n.layout.Load())
	spec := &workload.Spec{ID: "a", Queue: "q", Steps: []workload.Step{{Tasks: 1}}}
	with, without := &fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "q", Service: "svc"}}}, &fleet.Config{Version: 2}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			n.configs.current.Store(with)
			n.configs.current.Store(without)
		}
	}()
	for chosen := false; !chosen; {
		select {
		case <-done:
			chosen = true
		default:
			o.ShardWithRoom(spec, func(time.Duration) bool { return true })
		}
	}
}
