package bundle

import (
	"crypto/ed25519"
	"fmt"

	"skylarkport/internal/result"
)

// signedPrefix keeps a sign-off from being taken for another signature.
const signedPrefix = "skylarkport bundle sign-off\n"

// SignOff is a reviewer's signature of a bundle.
type SignOff struct {
	Hash      string `json:"hash"`
	Reviewer  string `json:"reviewer"`
	Signature []byte `json:"signature"` // 64 bytes
}

// Sign returns reviewer's sign-off of the bundle with hash.
func Sign(key ed25519.PrivateKey, reviewer, hash string) SignOff {
	return SignOff{Hash: hash, Reviewer: reviewer, Signature: ed25519.Sign(key, []byte(signedPrefix+hash))}
}

// verify checks a sign-off of b against the reviewers of the bundle in force.
func (s SignOff) verify(b *Bundle, reviewers []Key) error {
	if s.Reviewer == b.Author {
		return result.Errorf(result.BundleSelfReview, "%q is the author", s.Reviewer)
	}
	for _, k := range reviewers {
		if k.Name != s.Reviewer {
			continue
		}
		if len(k.Public) != ed25519.PublicKeySize || !ed25519.Verify(k.Public, []byte(signedPrefix+s.Hash), s.Signature) {
			return result.Errorf(result.BundleSignature, "the signature of %q does not verify", s.Reviewer)
		}
		return nil
	}
	return result.Errorf(result.BundleSignature, "%q is no reviewer of the bundle in force", s.Reviewer)
}

// signedOff checks that enough reviewers of the bundle in force other than the
// author signed b off. Sign-offs that do not verify do not count.
func signedOff(b *Bundle, hash string, signs []SignOff, inForce *Bundle) error {
	valid := map[string]bool{}
	for _, s := range signs {
		if s.Hash == hash && s.verify(b, inForce.Reviewers) == nil {
			valid[s.Reviewer] = true
		}
	}
	if len(valid) < inForce.SignOffs {
		return result.Errorf(result.BundleUnsigned, "%s", fmt.Sprintf("%d of %d sign-offs", len(valid), inForce.SignOffs))
	}
	return nil
}
