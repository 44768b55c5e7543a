package dispatch

import (
	"testing"

	"skylarkport/internal/workload"
)

// TestHeartbeatRowEncodingIsStable guards the heartbeat row against a changed field
// name: the next owner of a shard may run another version.
func TestHeartbeatRowEncodingIsStable(t *testing.T) {
	const stored = `{"e":3,"n":7,"at":1200,"l":{"worker-1/5":4200}}`
	var row heartbeatRow
	if err := workload.Decode([]byte(stored), &row); err != nil {
		t.Fatal(err)
	}
	if row.Epoch != 3 || row.Seq != 7 || row.BuiltAt != 1200 || row.LeaseExpiries["worker-1/5"] != 4200 {
		t.Errorf("decoded as %+v", row)
	}
	if got := string(workload.Encode(row)); got != stored {
		t.Errorf("encoded as %s, stored as %s", got, stored)
	}
}
