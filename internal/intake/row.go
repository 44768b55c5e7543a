// Package intake stores operators' jobs in the platform's tables, divides their tasks
// among the shards and collects their state from the shards' owners.
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

// Row is the stored row of a submitted job.
type Row struct {
	Spec      job.Spec    `json:"spec"`
	Parts     []TaskRange `json:"parts"`
	Submitted int64       `json:"submitted_ms"` // wall clock; used only to compute ages
	Cancelled bool        `json:"cancelled,omitempty"`
	Nonce     string      `json:"nonce"` // unique per call of Submit; identifies the call that wrote the row
}

// TaskRange is a range of a job's tasks and the shard that runs them.
type TaskRange struct {
	Shard string `json:"shard"`
	From  int    `json:"from"`
	To    int    `json:"to"` // index after the last task
}

func jobKey(id string) contract.Key { return contract.Key{Table: JobTable, Row: id} }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types that are passed here always encode
	}
	return b
}

func decodeRow(r contract.Row) (Row, error) {
	var v Row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, result.Wrap(result.Internal, err, "decode job row "+r.Key.Row)
	}
	return v, nil
}

// normalize returns the spec with its defaults filled in, which is the form that is
// stored and compared.
func normalize(s job.Spec) job.Spec {
	s.Family = s.FamilyName()
	if len(s.Zones) == 0 {
		s.Zones = nil
	}
	return s
}

func equalSpecs(a, b job.Spec) bool { return bytes.Equal(encode(a), encode(b)) }
