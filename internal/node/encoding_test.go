package node

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"skylarkport/internal/colocation"
	"skylarkport/internal/workload"
)

// TestEncodingIsStable guards stored rows and messages between instances against a
// changed field name or order: an instance must read what another version wrote.
// testdata/encoding.json was written by an earlier version, with every field set.
func TestEncodingIsStable(t *testing.T) {
	raw, err := os.ReadFile("testdata/encoding.json")
	if err != nil {
		t.Fatal(err)
	}
	var stored map[string]json.RawMessage
	if err := json.Unmarshal(raw, &stored); err != nil {
		t.Fatal(err)
	}
	types := map[string]any{
		"row/instance":          &Instance{},
		"row/layout":            &Layout{},
		"row/owner":             &ownerRow{},
		"row/job":               &workload.Accepted{},
		"row/job-terms":         &workload.Accepted{},
		"row/loan":              &workload.Accepted{},
		"row/progress":          &workload.Record{},
		"row/interference":      &colocation.Estimates{},
		"message/ping":          &Ping{},
		"message/outcome":       &Outcome{},
		"message/submit":        &SubmitRequest{},
		"message/job":           &JobRequest{},
		"message/job-reply":     &JobReply{},
		"message/config":        &ConfigReply{},
		"message/config-zipped": &ConfigReply{},
		"message/config-ask":    &ConfigRequest{},
		"message/return":        &ReturnRequest{},
		"message/ping-loans":    &Ping{},
		"message/pending":       &PendingReply{},
		"message/lessons":       &EstimatesRequest{},
		"message/lessons-reply": &EstimatesReply{},
		"message/claim":         &ClaimRequest{},
	}
	if len(stored) != len(types) {
		t.Errorf("%d stored values for %d types", len(stored), len(types))
	}
	for name, v := range types {
		t.Run(name, func(t *testing.T) {
			dec := json.NewDecoder(bytes.NewReader(stored[name]))
			dec.DisallowUnknownFields()
			if err := dec.Decode(v); err != nil {
				t.Fatal(err)
			}
			var want bytes.Buffer
			if err := json.Compact(&want, stored[name]); err != nil {
				t.Fatal(err)
			}
			if got := workload.Encode(v); !bytes.Equal(got, want.Bytes()) {
				t.Errorf("encoded as\n%s\nstored as\n%s", got, want.Bytes())
			}
		})
	}
}
