// Package journal keeps an append-only log in the platform's tables. A log has
// one owner at a time, fenced by an epoch; records are opaque bytes, and many
// of them share one table write.
//
// Every commit checks that the owner row still has the version that this owner
// wrote. Inserting the next sequence if absent would not fence by itself: once
// rows are trimmed, a paused owner could insert a sequence that was used before.
package journal

import (
	"encoding/json"
	"fmt"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// The tables of a log.
const (
	OwnerTable = "owner"
	RowTable   = "journal"
)

// Owner is the value of a log's owner row.
type Owner struct {
	Instance string `json:"instance"` // empty when released
	Epoch    uint64 `json:"epoch"`
	First    uint64 `json:"first"`              // first sequence that the snapshot does not cover
	Snapshot string `json:"snapshot,omitempty"` // object's name; empty for none
	Nonce    string `json:"nonce"`              // of the write that put this value
}

// row is the value of one group commit.
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
		panic(err) // only plain structs come here
	}
	return b
}

func decodeOwner(r contract.Row) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return o, result.Wrap(result.JournalBroken, err, "owner row "+r.Key.Row)
	}
	return o, nil
}

func decodeRow(r contract.Row) (row, error) {
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, result.Wrap(result.JournalBroken, err, "row "+r.Key.Row)
	}
	return v, nil
}
