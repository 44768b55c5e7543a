package bundle

import (
	"crypto/ed25519"
	"fmt"

	"skylarkport/internal/result"
)

// signaturePrefix is signed together with the hash, so that a signature that the key
// made for another purpose is not valid as a sign-off.
const signaturePrefix = "skylarkport bundle sign-off\n"

// SignOff is a reviewer's ed25519 signature of a bundle's hash.
type SignOff struct {
	Hash      string `json:"hash"`
	Reviewer  string `json:"reviewer"`
	Signature []byte `json:"signature"` // 64 bytes
}

// Sign returns the reviewer's sign-off of the bundle with the given hash.
func Sign(key ed25519.PrivateKey, reviewer, hash string) SignOff {
	return SignOff{Hash: hash, Reviewer: reviewer, Signature: ed25519.Sign(key, []byte(signaturePrefix+hash))}
}

// verify checks a sign-off of b against the reviewers of the bundle in force. An
// author cannot sign off their own bundle.
func (s SignOff) verify(b *Bundle, reviewers []ReviewerKey) error {
	if s.Reviewer == b.Author {
		return result.Errorf(result.BundleSelfReview, "%q is the author and cannot sign off the bundle", s.Reviewer)
	}
	for _, k := range reviewers {
		if k.Name != s.Reviewer {
			continue
		}
		if len(k.Public) != ed25519.PublicKeySize || !ed25519.Verify(k.Public, []byte(signaturePrefix+s.Hash), s.Signature) {
			return result.Errorf(result.BundleSignature, "the signature of %q does not verify", s.Reviewer)
		}
		return nil
	}
	return result.Errorf(result.BundleSignature, "%q is not a reviewer in the bundle in force", s.Reviewer)
}

// checkSignOffs checks that enough reviewers of the bundle in force other than the
// author signed b off. Sign-offs that do not verify are not counted.
func checkSignOffs(b *Bundle, hash string, signOffs []SignOff, inForce *Bundle) error {
	valid := map[string]bool{}
	for _, s := range signOffs {
		if s.Hash == hash && s.verify(b, inForce.Reviewers) == nil {
			valid[s.Reviewer] = true
		}
	}
	if len(valid) < inForce.RequiredSignOffs {
		return result.Errorf(result.BundleUnsigned, "%s", fmt.Sprintf("%d of %d required sign-offs", len(valid), inForce.RequiredSignOffs))
	}
	return nil
}
