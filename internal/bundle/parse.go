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

// MaxBytes bounds the size of a bundle's JSON body.
const MaxBytes = 4 << 20

// Reason is one reason why a bundle is rejected.
type Reason struct {
	Path     string `json:"path"` // JSON path of the field, such as "services[0].timeout"
	Expected string `json:"want"` // what was expected
}

// String returns "path: want".
func (r Reason) String() string {
	if r.Path == "" {
		return r.Expected
	}
	return r.Path + ": " + r.Expected
}

// reasonsError returns an error with code that lists every reason, or nil if there
// are no reasons.
func reasonsError(code result.Code, reasons []Reason) error {
	if len(reasons) == 0 {
		return nil
	}
	parts := make([]string, len(reasons))
	for i, r := range reasons {
		parts[i] = r.String()
	}
	return result.Errorf(code, "%s", strings.Join(parts, "; "))
}

// Parse decodes and validates a bundle that an operator wrote. The error is one
// result.BundleBad that lists every invalid field. A version that is left out is
// set to one above the base.
func Parse(data []byte) (*Bundle, error) {
	b, err := decode(data)
	if err != nil {
		return nil, err
	}
	if b.Version == 0 {
		b.Version = b.Base + 1
	}
	if err := reasonsError(result.BundleBad, Validate(b)); err != nil {
		return nil, err
	}
	return b, nil
}

// ParseInitial decodes and validates the first bundle of a new deployment, which
// has version and base 0.
func ParseInitial(data []byte) (*Bundle, error) {
	b, err := decode(data)
	if err != nil {
		return nil, err
	}
	reasons := validateContents(b)
	if b.Version != 0 || b.Base != 0 {
		reasons = append(reasons, Reason{"version", "version and base must be 0 in the first bundle"})
	}
	if err := reasonsError(result.BundleBad, reasons); err != nil {
		return nil, err
	}
	return b, nil
}

func decode(data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, reasonsError(result.BundleBad, []Reason{{"", fmt.Sprintf("at most %d bytes", MaxBytes)}})
	}
	b := new(Bundle)
	var reasons []Reason
	for _, f := range strict.Decode(data, b, strict.Options{}) {
		reasons = append(reasons, Reason{f.Path, "expected " + f.Expected})
	}
	if len(reasons) > 0 {
		return nil, reasonsError(result.BundleBad, reasons)
	}
	return b, nil
}

// Encode returns the canonical body of b, from which its hash is computed: the
// fields in the order of the schema, without white space, and [] for a nil list.
func Encode(b *Bundle) ([]byte, error) {
	c := *b
	c.Organisations = notNil(c.Organisations)
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

// notNil returns an empty list for a nil one.
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

// decodeBody checks a canonical body against its hash and decodes it.
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
