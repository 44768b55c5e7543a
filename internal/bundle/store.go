package bundle

import (
	"context"
	"encoding/json"
	"fmt"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// tableName is the platform's table that holds the rows of this package.
const tableName = "bundle"

// currentKey is the row that names the last accepted bundle.
var currentKey = contract.Key{Table: tableName, Row: "current"}

func versionKey(v uint64) contract.Key {
	return contract.Key{Table: tableName, Row: fmt.Sprintf("version/%020d", v)}
}

const (
	proposalPrefix = "proposal/"
	signOffPrefix  = "signoff/"
	prefixEnd      = "0" // the byte after "/"
)

func proposalKey(hash string) contract.Key {
	return contract.Key{Table: tableName, Row: proposalPrefix + hash}
}

func signOffKey(hash, reviewer string) contract.Key {
	return contract.Key{Table: tableName, Row: signOffPrefix + hash + "/" + reviewer}
}

func objectName(hash string) string { return "bundle/" + hash }

// Head names an accepted bundle. The row "current" holds the Head of the last one.
type Head struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Author  string `json:"author"`
}

// AcceptedBundle is an accepted bundle with the sign-offs that prove its acceptance. The
// rows "version/..." hold it without the body.
type AcceptedBundle struct {
	Head
	SignOffs []SignOff       `json:"sign_offs"`
	Body     json.RawMessage `json:"body,omitempty"` // canonical
}

// store reads and writes bundles: the rows in the platform's table and the bodies in
// its object store.
type store struct {
	tables  contract.Tables
	objects contract.Objects
}

// current returns the Head of the last accepted bundle and the version of its row,
// both zero if no bundle was ever accepted.
func (s *store) current(ctx context.Context) (Head, uint64, error) {
	var h Head
	row, err := s.tables.Read(ctx, currentKey)
	if contract.IsNotFound(err) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, err
	}
	err = json.Unmarshal(row.Value, &h)
	return h, row.Version, result.Wrap(result.BundleBad, err, "decode the current row")
}

// bundle returns the bundle with the given hash from the object store, decoded and
// as its canonical body.
func (s *store) bundle(ctx context.Context, hash string) (*Bundle, []byte, error) {
	body, err := s.objects.Get(ctx, objectName(hash))
	if contract.IsNotFound(err) {
		return nil, nil, result.Errorf(result.BundleUnknown, "no bundle with the hash %s", hash)
	}
	if err != nil {
		return nil, nil, err
	}
	b, err := decodeBody(body, hash)
	return b, body, err
}

// accepted returns the record of an accepted version, without its body.
func (s *store) accepted(ctx context.Context, version uint64) (*AcceptedBundle, error) {
	row, err := s.tables.Read(ctx, versionKey(version))
	if contract.IsNotFound(err) {
		return nil, result.Errorf(result.BundleUnknown, "no accepted bundle has version %d", version)
	}
	if err != nil {
		return nil, err
	}
	a := new(AcceptedBundle)
	err = json.Unmarshal(row.Value, a)
	return a, result.Wrap(result.BundleBad, err, row.Key.Row)
}

// maxSignOffs bounds the sign-offs that are read for one bundle.
const maxSignOffs = maxReviewers

func (s *store) signOffs(ctx context.Context, hash string) ([]SignOff, error) {
	rows, err := s.tables.Scan(ctx, tableName, signOffPrefix+hash+"/", signOffPrefix+hash+prefixEnd, maxSignOffs)
	if err != nil {
		return nil, err
	}
	out := make([]SignOff, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &out[i]); err != nil {
			return nil, result.Wrap(result.BundleBad, err, row.Key.Row)
		}
	}
	return out, nil
}

// maxCommitAttempts bounds the attempts at a conditional write.
const maxCommitAttempts = 50

// putOnce writes a row that must not change once written. When the response to
// the write is lost it reads the row. It returns the value that the row holds, which
// another writer may have stored before.
func (s *store) putOnce(ctx context.Context, key contract.Key, value []byte) ([]byte, error) {
	for range maxCommitAttempts {
		_, err := s.tables.Commit(ctx, []contract.Write{{Key: key, If: contract.IfAbsent, Do: contract.Put, Value: value}})
		if err == nil {
			return value, nil
		}
		if !contract.IsConflict(err) && contract.OutcomeOf(err) == contract.Refused {
			return nil, err
		}
		row, readErr := s.tables.Read(ctx, key)
		if readErr == nil {
			return row.Value, nil
		}
		if !contract.IsNotFound(readErr) || ctx.Err() != nil {
			return nil, err
		}
		if err := waitRetry(ctx); err != nil {
			return nil, err
		}
	}
	return nil, result.Errorf(result.PlatformUnknown, "the outcome of the write is unknown; try again")
}
