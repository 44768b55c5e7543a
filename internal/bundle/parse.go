package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"skylarkport/internal/result"
	"skylarkport/internal/strict"
)

// MaxBytes bounds a bundle's body.
const MaxBytes = 4 << 20

// Reason is one reason why a bundle is refused.
type Reason struct {
	Path string `json:"path"` // field, such as "services[0].timeout"
	Want string `json:"want"` // what was expected
}

// String returns "path: want".
func (r Reason) String() string {
	if r.Path == "" {
		return r.Want
	}
	return r.Path + ": " + r.Want
}

// refused returns an error with code that lists every reason, nil for none.
func refused(code result.Code, reasons []Reason) error {
	if len(reasons) == 0 {
		return nil
	}
	text := make([]string, len(reasons))
	for i, r := range reasons {
		text[i] = r.String()
	}
	return result.Errorf(code, "%s", strings.Join(text, "; "))
}

// Parse decodes and validates a bundle that an operator wrote. Every fault is
// listed in one result.BundleBad. A version may be left out: it is one above the
// base.
func Parse(data []byte) (*Bundle, error) {
	b, err := decode(data)
	if err != nil {
		return nil, err
	}
	if b.Version == 0 {
		b.Version = b.Base + 1
	}
	if err := refused(result.BundleBad, Validate(b)); err != nil {
		return nil, err
	}
	return b, nil
}

// ParseInitial decodes the first bundle of a new deployment, which has version 0.
func ParseInitial(data []byte) (*Bundle, error) {
	b, err := decode(data)
	if err != nil {
		return nil, err
	}
	reasons := validateContents(b)
	if b.Version != 0 || b.Base != 0 {
		reasons = append(reasons, Reason{"version", "0 in the first bundle, base too"})
	}
	if err := refused(result.BundleBad, reasons); err != nil {
		return nil, err
	}
	return b, nil
}

func decode(data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, refused(result.BundleBad, []Reason{{"", fmt.Sprintf("at most %d bytes", MaxBytes)}})
	}
	b := new(Bundle)
	var reasons []Reason
	for _, f := range strict.Decode(data, b, strict.Options{}) {
		reasons = append(reasons, Reason{f.Path, "expected " + f.Want})
	}
	if len(reasons) > 0 {
		return nil, refused(result.BundleBad, reasons)
	}
	return b, nil
}

// Encode returns the canonical body of b: the fields in the order of the schema,
// without white space, [] for an empty list.
func Encode(b *Bundle) ([]byte, error) {
	c := *b
	c.Tenants = notNil(c.Tenants)
	c.Services = notNil(c.Services)
	c.Reviewers = notNil(c.Reviewers)
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].Idempotent = notNil(c.Services[i].Idempotent)
		c.Services[i].NotIdempotent = notNil(c.Services[i].NotIdempotent)
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(&c); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(buf.Bytes()), nil
}

func notNil[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}

// HashOf returns the hash of a canonical body: SHA-256 in lower-case hex.
func HashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// decodeBody decodes a canonical body and checks it against its hash.
func decodeBody(body []byte, hash string) (*Bundle, error) {
	if got := HashOf(body); got != hash {
		return nil, result.Errorf(result.BundleSignature, "the body has the hash %s, not %s", got, hash)
	}
	b := new(Bundle)
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(b); err != nil {
		return nil, result.Wrap(result.BundleBad, err, hash)
	}
	return b, nil
}

// LoadInitial reads the first bundle of a new deployment from the file that the
// settings name. It returns nil for an empty name.
func LoadInitial(file string) (*Bundle, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(result.BundleBad, err, "the first bundle")
	}
	b, err := ParseInitial(data)
	return b, errors.Wrap(err, file)
}
