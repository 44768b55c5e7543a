// Package intake stores operators' jobs in the platform's tables, divides their
// tasks among shards, and gathers their state from the shards' owners.
package intake

import (
	"bytes"
	"encoding/json"

	"skylarkport/internal/contract"
	"skylarkport/internal/job"
	"skylarkport/internal/result"
)

// JobTable holds one row per job.
const JobTable = "jobs"

// Row is a job as it was submitted.
type Row struct {
	Spec      job.Spec `json:"spec"`
	Parts     []Part   `json:"parts"`
	Submitted int64    `json:"submitted_ms"` // wall clock; only for ages
	Cancelled bool     `json:"cancelled,omitempty"`
	Nonce     string   `json:"nonce"` // of the submission that wrote it
}

// Part is a range of a job's tasks and the shard that got them.
type Part struct {
	Shard string `json:"shard"`
	From  int    `json:"from"`
	To    int    `json:"to"` // after the last
}

func jobKey(id string) contract.Key { return contract.Key{Table: JobTable, Row: id} }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

func decodeRow(r contract.Row) (Row, error) {
	var v Row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, result.Wrap(result.Internal, err, "job row "+r.Key.Row)
	}
	return v, nil
}

// normal returns the spec in the form that is stored and compared.
func normal(s job.Spec) job.Spec {
	s.Family = s.FamilyName()
	if len(s.Zones) == 0 {
		s.Zones = nil
	}
	return s
}

func same(a, b job.Spec) bool { return bytes.Equal(encode(a), encode(b)) }
