// Package journal keeps append-only logs in the platform's tables. A log has one
// owner at a time, recorded in its owner row with an epoch that every takeover
// increments. Records are opaque bytes; a group commit writes many of them as one
// row, whose key is the next sequence number.
//
// Every commit checks that the owner row still has the version that this owner
// wrote. Inserting the next sequence number only if absent is not enough: once
// rows are trimmed, a paused earlier owner could insert a number that was used
// before.
package journal

import (
	"encoding/json"
	"fmt"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// The tables that hold the owner rows and the journal rows of all logs.
const (
	OwnerTable = "owner"
	RowTable   = "journal"
)

// Owner is the value of a log's owner row.
type Owner struct {
	Instance string `json:"instance"` // empty after a release
	Epoch    uint64 `json:"epoch"`
	FirstSeq uint64 `json:"first"`              // first sequence number that the snapshot does not cover
	Snapshot string `json:"snapshot,omitempty"` // name of the object; empty for none
	Nonce    string `json:"nonce"`              // unique to the write of this value
}

// row is the value of a journal row: one group commit.
type row struct {
	Epoch   uint64   `json:"epoch"`
	Nonce   string   `json:"nonce"`
	Records [][]byte `json:"records"`
}

func ownerKey(name string) contract.Key {
	return contract.Key{Table: OwnerTable, Row: name}
}

func rowKey(name string, seq uint64) contract.Key {
	return contract.Key{Table: RowTable, Row: fmt.Sprintf("%s/%020d", name, seq)}
}

func objectName(name string, epoch, seq uint64) string {
	return fmt.Sprintf("journal/%s/%020d-%020d", name, epoch, seq)
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: only plain structs are passed
	}
	return b
}

func decodeOwner(r contract.Row) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return o, result.Wrap(result.JournalCorrupt, err, "decode owner row "+r.Key.Row)
	}
	return o, nil
}

func decodeRow(r contract.Row) (row, error) {
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, result.Wrap(result.JournalCorrupt, err, "decode journal row "+r.Key.Row)
	}
	return v, nil
}
