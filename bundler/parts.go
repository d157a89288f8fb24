package bundler

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// AdapterParts is the number of parts that the adapters are distributed over. A
// node that follows a change fetches the manifest and the changed parts. With
// 29,000 adapters a part has about 11 kB, close to the size of the manifest, so
// that their sum is about as small as possible.
const AdapterParts = 256

// headPart is the index of the head, the part with everything except adapters
// and traffic.
const headPart = AdapterParts

// Hash is the SHA-256 hash of a piece of content and identifies it.
type Hash [sha256.Size]byte

// HashOf returns the hash of content.
func HashOf(content []byte) Hash { return sha256.Sum256(content) }

// ParseHash parses the hexadecimal form of a hash.
func ParseHash(text string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(h) {
		return h, fmt.Errorf("hash %q: %w", text, ErrHash)
	}
	copy(h[:], b)
	return h, nil
}

// String returns the hexadecimal form.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ObjectKey returns the key of the object that stores the content.
func (h Hash) ObjectKey() string { return "bundle/" + h.String() }

// Errors of the content of a bundle.
var (
	// ErrHash is returned for a malformed hash or content that does not match
	// its hash.
	ErrHash = eris.New("content does not match its hash")
	// ErrMissing is returned if a part cannot be obtained.
	ErrMissing = eris.New("part is missing")
	// ErrEncoding is returned for content that is not in the canonical
	// encoding.
	ErrEncoding = eris.New("content is not in canonical encoding")
)

// partOf returns the index of the part that holds the named adapter. Bundles
// are compared part by part, so a change of the hash function requires a new
// format version.
func partOf(adapter string) int { return int(xxhash.Sum64String(adapter) % AdapterParts) }

// adapterPart is the content of an adapter part.
type adapterPart struct {
	Adapters []AdapterDocument `json:"adapters,omitempty"`
	Traffic  []TrafficDocument `json:"traffic,omitempty"`
}

// Content is a document split into parts in the canonical encoding: compact
// JSON with fields in the order of the document types and adapters sorted by
// name.
type Content struct {
	parts    [][]byte
	manifest Manifest
}

// partition distributes adapters and their traffic splits over the parts by
// name.
func partition(doc *Document) []adapterPart {
	parts := make([]adapterPart, AdapterParts)
	for _, a := range doc.Adapters {
		p := &parts[partOf(a.Name)]
		p.Adapters = append(p.Adapters, a)
	}
	for _, t := range doc.Traffic {
		p := &parts[partOf(t.Adapter)]
		p.Traffic = append(p.Traffic, t)
	}
	return parts
}

// Split splits a checked document into its parts.
func Split(doc *Document) (*Content, error) {
	c := &Content{}
	for _, p := range partition(doc) {
		if err := c.add(canonicalPart(p)); err != nil {
			return nil, err
		}
	}
	head := *doc
	head.Adapters, head.Traffic = nil, nil
	return c, c.add(head)
}

func (c *Content) add(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode part %d: %w", len(c.parts), err)
	}
	c.parts = append(c.parts, b)
	c.manifest.hashes = append(c.manifest.hashes, HashOf(b))
	return nil
}

func canonicalPart(p adapterPart) adapterPart {
	slices.SortFunc(p.Adapters, func(a, b AdapterDocument) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Traffic, func(a, b TrafficDocument) int { return cmp.Compare(a.Adapter, b.Adapter) })
	return p
}

// Manifest returns the hashes of the parts.
func (c *Content) Manifest() Manifest { return c.manifest }

// Part returns the part with the given hash.
func (c *Content) Part(h Hash) ([]byte, bool) {
	i := slices.Index(c.manifest.hashes, h)
	if i < 0 {
		return nil, false
	}
	return c.parts[i], true
}

// Lookup returns content by hash. The caller verifies the hash of the result.
type Lookup func(Hash) ([]byte, bool)

// Join reassembles a document from its parts and checks it.
func Join(m Manifest, lookup Lookup) (*Document, error) {
	head, err := lookupHead(m, lookup)
	if err != nil {
		return nil, err
	}
	for i := range AdapterParts {
		p, err := lookupPart(m, i, lookup)
		if err != nil {
			return nil, err
		}
		head.Adapters = append(head.Adapters, p.Adapters...)
		head.Traffic = append(head.Traffic, p.Traffic...)
	}
	slices.SortFunc(head.Adapters, func(a, b AdapterDocument) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(head.Traffic, func(a, b TrafficDocument) int { return cmp.Compare(a.Adapter, b.Adapter) })
	if faults := check(head); len(faults) > 0 {
		return nil, &ParseError{faults: faults}
	}
	return head, nil
}

// Head returns the document of a manifest without its adapters and traffic. It
// does not check the values.
func Head(m Manifest, lookup Lookup) (*Document, error) { return lookupHead(m, lookup) }

func lookupHead(m Manifest, lookup Lookup) (*Document, error) {
	var head Document
	if err := decodePart(m, headPart, lookup, &head); err != nil {
		return nil, err
	}
	if len(head.Adapters)+len(head.Traffic) > 0 {
		return nil, fmt.Errorf("head part holds adapters: %w", ErrEncoding)
	}
	return &head, nil
}

func lookupPart(m Manifest, i int, lookup Lookup) (*adapterPart, error) {
	var p adapterPart
	if err := decodePart(m, i, lookup, &p); err != nil {
		return nil, err
	}
	for j, a := range p.Adapters {
		if partOf(a.Name) != i {
			return nil, fmt.Errorf("part %d holds adapter %q of part %d: %w", i, a.Name, partOf(a.Name), ErrEncoding)
		}
		if j > 0 && p.Adapters[j-1].Name >= a.Name {
			return nil, fmt.Errorf("part %d: adapter %q is out of order: %w", i, a.Name, ErrEncoding)
		}
	}
	return &p, nil
}

// decodePart decodes part i into v. It accepts only the canonical encoding, so
// that a document has exactly one manifest.
func decodePart(m Manifest, i int, lookup Lookup, v any) error {
	h := m.Hash(i)
	b, ok := lookup(h)
	if !ok {
		return fmt.Errorf("part %d with hash %s: %w", i, h, ErrMissing)
	}
	if HashOf(b) != h {
		return fmt.Errorf("part %d with hash %s: %w", i, h, ErrHash)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode part %d: %w", i, err)
	}
	reencoded, err := json.Marshal(v)
	if err != nil || !bytes.Equal(reencoded, b) {
		return fmt.Errorf("part %d: %w", i, ErrEncoding)
	}
	return nil
}
