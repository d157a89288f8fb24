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

// AdapterParts is the number of parts that the adapters are spread over. At
// 29,000 adapters a part is about 11 kB, close to the manifest's own size, which
// makes their sum about as small as it gets.
const AdapterParts = 256

// headPart is the index of the part with everything but adapters.
const headPart = AdapterParts

// Hash is the SHA-256 of content; it is also the name of the content.
type Hash [sha256.Size]byte

// HashOf returns the hash of content.
func HashOf(content []byte) Hash { return sha256.Sum256(content) }

// ParseHash reads the hexadecimal form.
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

// ObjectKey returns the object under which content is stored.
func (h Hash) ObjectKey() string { return "bundle/" + h.String() }

// Errors of content.
var (
	// ErrHash reports a malformed hash or content that does not match its hash.
	ErrHash = eris.New("content does not match its hash")
	// ErrMissing reports a part that nobody could give.
	ErrMissing = eris.New("part is missing")
	// ErrEncoding reports content that is not in the canonical encoding.
	ErrEncoding = eris.New("content is not in canonical encoding")
)

// partOf returns the adapter part of a name. Bundles are compared part by part,
// so a change of the hash function needs a new format version.
func partOf(adapter string) int { return int(xxhash.Sum64String(adapter) % AdapterParts) }

// adapterPart is what an adapter part encodes.
type adapterPart struct {
	Adapters []AdapterDocument `json:"adapters,omitempty"`
	Traffic  []TrafficDocument `json:"traffic,omitempty"`
}

// Content is a document cut into its parts in canonical encoding: compact JSON
// with fields in the order of the document types and adapters sorted by name.
type Content struct {
	parts    [][]byte
	manifest Manifest
}

// partition assigns adapters, and the traffic shares of each, to parts by name.
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

// Split cuts a checked document into its parts.
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

// Part returns a part by hash.
func (c *Content) Part(h Hash) ([]byte, bool) {
	i := slices.Index(c.manifest.hashes, h)
	if i < 0 {
		return nil, false
	}
	return c.parts[i], true
}

// Lookup gives content by hash. It need not check the hash.
type Lookup func(Hash) ([]byte, bool)

// Join puts a document together from its parts and checks it.
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

// Head returns the document of a manifest without its adapters and traffic. It is
// not checked.
func Head(m Manifest, lookup Lookup) (*Document, error) { return lookupHead(m, lookup) }

func lookupHead(m Manifest, lookup Lookup) (*Document, error) {
	var head Document
	if err := lookupInto(m, headPart, lookup, &head); err != nil {
		return nil, err
	}
	if len(head.Adapters)+len(head.Traffic) > 0 {
		return nil, fmt.Errorf("head part holds adapters: %w", ErrEncoding)
	}
	return &head, nil
}

func lookupPart(m Manifest, i int, lookup Lookup) (*adapterPart, error) {
	var p adapterPart
	if err := lookupInto(m, i, lookup, &p); err != nil {
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

// lookupInto decodes part i. Only the canonical encoding passes, so that one
// document has one manifest.
func lookupInto(m Manifest, i int, lookup Lookup, v any) error {
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
	again, err := json.Marshal(v)
	if err != nil || !bytes.Equal(again, b) {
		return fmt.Errorf("part %d: %w", i, ErrEncoding)
	}
	return nil
}
