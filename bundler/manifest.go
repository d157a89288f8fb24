package bundler

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Manifest lists the hashes of a bundle's parts: the adapter parts in order,
// then the head.
type Manifest struct {
	hashes []Hash
}

// Hash returns the hash of part i; the head is part AdapterParts.
func (m Manifest) Hash(i int) Hash { return m.hashes[i] }

// Hashes returns all distinct hashes, sorted.
func (m Manifest) Hashes() []Hash {
	all := slices.Clone(m.hashes)
	slices.SortFunc(all, func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
	return slices.Compact(all)
}

// Digest returns the hash of the manifest. It identifies the bundle's content,
// and author and reviewer sign it.
func (m Manifest) Digest() Hash { return HashOf(m.Encode()) }

// Encode returns the concatenated hashes.
func (m Manifest) Encode() []byte {
	b := make([]byte, 0, len(m.hashes)*len(Hash{}))
	for _, h := range m.hashes {
		b = append(b, h[:]...)
	}
	return b
}

// DecodeManifest decodes the result of Manifest.Encode.
func DecodeManifest(b []byte) (Manifest, error) {
	const size = (AdapterParts + 1) * len(Hash{})
	if len(b) != size {
		return Manifest{}, fmt.Errorf("manifest has %d bytes, must have %d: %w", len(b), size, ErrEncoding)
	}
	var m Manifest
	for part := range slices.Chunk(b, len(Hash{})) {
		m.hashes = append(m.hashes, Hash(part))
	}
	return m, nil
}

// signedMessage is the encoded form of a signed manifest.
type signedMessage struct {
	Manifest []byte           `cbor:"1,keyasint"`
	Author   signatureMessage `cbor:"2,keyasint"`
	Reviewer signatureMessage `cbor:"3,keyasint"`
}

type signatureMessage struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// Encode returns the encoding in which the signed manifest is stored and sent.
func (s *Signed) Encode() ([]byte, error) {
	b, err := cbor.Marshal(signedMessage{
		Manifest: s.manifest.Encode(),
		Author:   signatureMessage{Key: s.author.key, Value: s.author.value},
		Reviewer: signatureMessage{Key: s.reviewer.key, Value: s.reviewer.value},
	})
	if err != nil {
		return nil, fmt.Errorf("encode signed manifest: %w", err)
	}
	return b, nil
}

// DecodeSigned decodes the result of Signed.Encode. It does not verify
// signatures.
func DecodeSigned(b []byte) (*Signed, error) {
	var msg signedMessage
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return nil, fmt.Errorf("decode signed manifest: %w", err)
	}
	m, err := DecodeManifest(msg.Manifest)
	if err != nil {
		return nil, err
	}
	return NewSigned(m, NewSignature(msg.Author.Key, msg.Author.Value), NewSignature(msg.Reviewer.Key, msg.Reviewer.Value)), nil
}
