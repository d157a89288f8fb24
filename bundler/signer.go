package bundler

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of signatures.
var (
	// ErrSignature reports a signature that does not match.
	ErrSignature = eris.New("signature does not match")
	// ErrSameKey reports a bundle that its own author reviewed.
	ErrSameKey = eris.New("author and reviewer are the same key")
)

// Signed is a bundle with the signatures of its author and its reviewer.
type Signed struct {
	document []byte
	author   Signature
	reviewer Signature
}

// Signature is an Ed25519 signature with the name of its key.
type Signature struct {
	key   string
	value []byte
}

// NewSignature returns a signature by the named key.
func NewSignature(key string, value []byte) Signature { return Signature{key: key, value: value} }

// Key returns the name of the key.
func (s Signature) Key() string { return s.key }

// Value returns the signature's bytes.
func (s Signature) Value() []byte { return s.value }

// NewSigned returns a signed bundle; Verify checks it.
func NewSigned(document []byte, author, reviewer Signature) *Signed {
	return &Signed{document: document, author: author, reviewer: reviewer}
}

// digest returns what a key of the given role signs. The role is part of it, so
// that an author's signature cannot serve as a review.
func digest(role string, document []byte) []byte {
	sum := sha256.Sum256(document)
	return append([]byte("dragonflyford bundle "+role+"\n"), sum[:]...)
}

// Roles of the keys that sign a bundle.
const (
	RoleAuthor   = "author"
	RoleReviewer = "reviewer"
)

// Sign signs a document in a role.
func Sign(role, keyName string, key ed25519.PrivateKey, document []byte) Signature {
	return NewSignature(keyName, ed25519.Sign(key, digest(role, document)))
}

// Keys gives public keys by name; revoked keys are not among them.
type Keys map[string]ed25519.PublicKey

// Verify checks both signatures and returns the document.
func (s *Signed) Verify(keys Keys) (*Document, error) {
	if s.author.key == s.reviewer.key {
		return nil, ErrSameKey
	}
	if err := verifyOne(RoleAuthor, s.author, keys, s.document); err != nil {
		return nil, err
	}
	if err := verifyOne(RoleReviewer, s.reviewer, keys, s.document); err != nil {
		return nil, err
	}
	var doc Document
	if err := json.Unmarshal(s.document, &doc); err != nil {
		return nil, fmt.Errorf("decode bundle: %w", err)
	}
	return &doc, nil
}

func verifyOne(role string, sig Signature, keys Keys, document []byte) error {
	key, ok := keys[sig.key]
	if !ok || !ed25519.Verify(key, digest(role, document), sig.value) {
		return fmt.Errorf("%s key %q: %w", role, sig.key, ErrSignature)
	}
	return nil
}
