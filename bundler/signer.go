package bundler

import (
	"crypto/ed25519"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of signature verification.
var (
	// ErrSignature is returned for a signature that does not match the
	// manifest.
	ErrSignature = eris.New("signature does not match")
	// ErrUnknownKey is returned for a signature with a key that is not trusted.
	ErrUnknownKey = eris.New("unknown key")
	// ErrRevoked is returned for a signature with a revoked key.
	ErrRevoked = eris.New("key is revoked")
	// ErrSameKey is returned if author and reviewer signed with the same key.
	ErrSameKey = eris.New("author and reviewer are the same key")
)

// Signed is a manifest with the signatures of its author and its reviewer.
type Signed struct {
	manifest Manifest
	author   Signature
	reviewer Signature
}

// Signature is an Ed25519 signature with the name of the signing key.
type Signature struct {
	key   string
	value []byte
}

// NewSignature returns a signature made with the named key.
func NewSignature(key string, value []byte) Signature { return Signature{key: key, value: value} }

// Key returns the name of the key.
func (s Signature) Key() string { return s.key }

// Value returns the signature's bytes.
func (s Signature) Value() []byte { return s.value }

// NewSigned returns a signed manifest. It does not verify the signatures.
func NewSigned(m Manifest, author, reviewer Signature) *Signed {
	return &Signed{manifest: m, author: author, reviewer: reviewer}
}

// Manifest returns the manifest, whose signatures may not have been verified
// yet.
func (s *Signed) Manifest() Manifest { return s.manifest }

// Author returns the author's signature.
func (s *Signed) Author() Signature { return s.author }

// Reviewer returns the reviewer's signature.
func (s *Signed) Reviewer() Signature { return s.reviewer }

// Role is the role in which a key signs a bundle.
type Role string

// Roles of the keys that sign bundles.
const (
	RoleAuthor   Role = "author"
	RoleReviewer Role = "reviewer"
)

// statement returns the message that a key of the given role signs. It includes
// the role, so that an author's signature is not valid as a review.
func statement(role Role, m Manifest) []byte {
	digest := m.Digest()
	return append([]byte("dragonflyford bundle "+role+"\n"), digest[:]...)
}

// Sign signs a manifest in the given role.
func Sign(role Role, keyName string, key ed25519.PrivateKey, m Manifest) Signature {
	return NewSignature(keyName, ed25519.Sign(key, statement(role, m)))
}

// Keys holds the public keys that are trusted to sign bundles, by name, and the
// names of revoked keys.
type Keys struct {
	public  map[string]ed25519.PublicKey
	revoked map[string]bool
}

// NewKeys returns a set of keys. A signature with a key whose name is in
// revoked is reported as revoked, even if the key is not in public any more.
func NewKeys(public map[string]ed25519.PublicKey, revoked ...string) Keys {
	k := Keys{public: public, revoked: make(map[string]bool, len(revoked))}
	for _, name := range revoked {
		k.revoked[name] = true
	}
	return k
}

// Verify verifies one signature of a manifest.
func (k Keys) Verify(role Role, sig Signature, m Manifest) error {
	key, ok := k.public[sig.key]
	switch {
	case k.revoked[sig.key]:
		return fmt.Errorf("%s key %q: %w", role, sig.key, ErrRevoked)
	case !ok || len(key) != ed25519.PublicKeySize:
		return fmt.Errorf("%s key %q: %w", role, sig.key, ErrUnknownKey)
	case !ed25519.Verify(key, statement(role, m), sig.value):
		return fmt.Errorf("%s key %q: %w", role, sig.key, ErrSignature)
	default:
		return nil
	}
}

// Verify verifies both signatures and checks that author and reviewer are
// different. It compares the keys as well as their names, because a key may be
// listed under two names.
func (s *Signed) Verify(keys Keys) error {
	if err := keys.Verify(RoleAuthor, s.author, s.manifest); err != nil {
		return err
	}
	if err := keys.Verify(RoleReviewer, s.reviewer, s.manifest); err != nil {
		return err
	}
	if s.author.key == s.reviewer.key || keys.public[s.author.key].Equal(keys.public[s.reviewer.key]) {
		return fmt.Errorf("author %q and reviewer %q: %w", s.author.key, s.reviewer.key, ErrSameKey)
	}
	return nil
}

// Open verifies the signatures and every part, and returns the document.
func (s *Signed) Open(keys Keys, lookup Lookup) (*Document, error) {
	if err := s.Verify(keys); err != nil {
		return nil, err
	}
	return Join(s.manifest, lookup)
}
