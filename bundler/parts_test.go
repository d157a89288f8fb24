package bundler_test

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/bundler"
)

func parse(t testing.TB, text string) *bundler.Document {
	t.Helper()
	doc, err := bundler.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func split(t testing.TB, doc *bundler.Document) *bundler.Content {
	t.Helper()
	content, err := bundler.Split(doc)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// large returns the example document with n more adapters.
func large(t testing.TB, n int) *bundler.Document {
	doc := parse(t, example(t))
	for i := range n {
		doc.Adapters = append(doc.Adapters, bundler.AdapterDocument{
			Name: fmt.Sprintf("branch-%05d-amounts", i), Base: "cheque-base",
			Versions: []string{"2026-11-30", "2026-12-03"}, Regions: []string{"lj", "mb"},
		})
	}
	return doc
}

// differing returns the indexes of the parts whose hashes differ.
func differing(a, b bundler.Manifest) []int {
	var parts []int
	for i := range bundler.AdapterParts + 1 {
		if a.Hash(i) != b.Hash(i) {
			parts = append(parts, i)
		}
	}
	return parts
}

// Guards against a change of one adapter that changes the hashes of other
// parts, and against a part hash that depends on the order of adapters in the
// text.
func TestOneAdapterChangesOnePart(t *testing.T) {
	is := is.New(t)
	doc := large(t, 1000)
	before := split(t, doc).Manifest()
	slices.Reverse(doc.Adapters)
	is.Equal(split(t, doc).Manifest().Digest(), before.Digest())
	doc.Adapters[0].Versions = []string{"2026-12-04"}
	is.Equal(len(differing(before, split(t, doc).Manifest())), 1)
}

// Guards against an incremental rebuild whose result differs from that of a
// full build, and against a rebuild that accepts a bundle that a full check
// rejects.
func TestRebuildEqualsWholeBuild(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	bases := []string{"cheque-base", "other"}
	rapid.Check(t, func(rt *rapid.T) {
		doc := parse(t, example(t))
		doc.Traffic = nil
		var previous *bundler.Snapshot
		for epoch := range uint64(6) {
			next := *doc
			next.Adapters = nil
			next.Bases = []bundler.BaseDocument{{Name: "cheque-base"}}
			if rapid.Bool().Draw(rt, "other base") {
				next.Bases = append(next.Bases, bundler.BaseDocument{Name: "other"})
			}
			for _, n := range names {
				if rapid.Bool().Draw(rt, "offered") {
					next.Adapters = append(next.Adapters, bundler.AdapterDocument{
						Name: n, Base: rapid.SampledFrom(bases).Draw(rt, "base"), Versions: []string{"v1"},
					})
				}
			}
			content := split(t, &next)
			_, fullErr := bundler.Join(content.Manifest(), content.Part)
			rebuilt, err := bundler.Rebuild(previous, epoch, content.Manifest(), content.Part)
			if (err == nil) != (fullErr == nil) {
				rt.Fatalf("rebuild returns %v, full check returns %v", err, fullErr)
			}
			if err != nil {
				continue
			}
			full := bundler.NewSnapshot(epoch, &next)
			if rebuilt.AdapterCount() != full.AdapterCount() {
				rt.Fatalf("rebuild has %d adapters, want %d", rebuilt.AdapterCount(), full.AdapterCount())
			}
			for _, n := range names {
				if bundler.Differs(rebuilt, full, bundler.NewAdapterSubject(n)) {
					rt.Fatalf("adapter %q differs", n)
				}
			}
			previous = rebuilt
		}
	})
}

// Guards against decoding unchanged parts again.
func TestRebuildShares(t *testing.T) {
	is := is.New(t)
	doc := large(t, 1000)
	first := split(t, doc)
	a, err := bundler.Rebuild(nil, 1, first.Manifest(), first.Part)
	is.NoErr(err)
	doc.Adapters[5].Versions = []string{"2026-12-04"}
	second := split(t, doc)
	fetched := 0
	b, err := bundler.Rebuild(a, 2, second.Manifest(), func(h bundler.Hash) ([]byte, bool) {
		fetched++
		return second.Part(h)
	})
	is.NoErr(err)
	is.Equal(fetched, 1)
	for i, ad := range doc.Adapters {
		x, _ := a.Adapter(ad.Name)
		y, _ := b.Adapter(ad.Name)
		if i == 5 {
			is.True(x != y)
			is.True(y.Offers("2026-12-04"))
		}
	}
	after, _ := b.Adapter(doc.Adapters[7].Name)
	before, _ := a.Adapter(doc.Adapters[7].Name)
	is.True(after == before)
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = b.Adapter("branch-00009-amounts") }), 0.0)
}

// Guards against treating a manifest of zero hashes as unchanged when there is
// no previous snapshot or the previous one was built from a document.
func TestRebuildZeroManifest(t *testing.T) {
	is := is.New(t)
	m, err := bundler.DecodeManifest(make([]byte, (bundler.AdapterParts+1)*len(bundler.Hash{})))
	is.NoErr(err)
	none := func(bundler.Hash) ([]byte, bool) { return nil, false }
	for _, previous := range []*bundler.Snapshot{nil, bundler.NewSnapshot(1, parse(t, example(t)))} {
		_, err = bundler.Rebuild(previous, 2, m, none)
		is.True(errors.Is(err, bundler.ErrMissing))
	}
}

type signers struct {
	keys             bundler.Keys
	author, reviewer ed25519.PrivateKey
}

func newSigners(t *testing.T, revoked ...string) signers {
	t.Helper()
	is := is.New(t)
	authorKey, author, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	reviewerKey, reviewer, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	return signers{bundler.NewKeys(map[string]ed25519.PublicKey{"a": authorKey, "r": reviewerKey, "alias": authorKey}, revoked...), author, reviewer}
}

// Guards against accepting a bundle that was changed after its review, that
// only its author reviewed, or that was signed with an unknown or revoked key.
func TestOpen(t *testing.T) {
	content := split(t, parse(t, example(t)))
	other := split(t, parse(t, strings.Replace(example(t), `["v3"]`, `["v4"]`, 1)))
	m := content.Manifest()
	s := newSigners(t)
	revoked := bundler.NewKeys(map[string]ed25519.PublicKey{}, "a")
	author := bundler.Sign(bundler.RoleAuthor, "a", s.author, m)
	reviewer := bundler.Sign(bundler.RoleReviewer, "r", s.reviewer, m)
	lookup := func(change func(bundler.Hash, []byte) []byte) bundler.Lookup {
		return func(h bundler.Hash) ([]byte, bool) {
			b, ok := content.Part(h)
			return change(h, slices.Clone(b)), ok
		}
	}
	unchanged := lookup(func(_ bundler.Hash, b []byte) []byte { return b })
	cases := []struct {
		name   string
		signed *bundler.Signed
		keys   bundler.Keys
		lookup bundler.Lookup
		want   error
	}{
		{"good", bundler.NewSigned(m, author, reviewer), s.keys, unchanged, nil},
		{"other manifest", bundler.NewSigned(other.Manifest(), author, reviewer), s.keys, unchanged, bundler.ErrSignature},
		{"author reviews", bundler.NewSigned(m, author, bundler.Sign(bundler.RoleReviewer, "a", s.author, m)), s.keys, unchanged, bundler.ErrSameKey},
		{"author reviews under another name", bundler.NewSigned(m, author, bundler.Sign(bundler.RoleReviewer, "alias", s.author, m)), s.keys, unchanged, bundler.ErrSameKey},
		{"author signature as review", bundler.NewSigned(m, author, bundler.Sign(bundler.RoleAuthor, "r", s.reviewer, m)), s.keys, unchanged, bundler.ErrSignature},
		{"roles swapped", bundler.NewSigned(m, reviewer, author), s.keys, unchanged, bundler.ErrSignature},
		{"unknown key", bundler.NewSigned(m, bundler.NewSignature("x", author.Value()), reviewer), s.keys, unchanged, bundler.ErrUnknownKey},
		{"revoked key", bundler.NewSigned(m, author, reviewer), revoked, unchanged, bundler.ErrRevoked},
		{"no signature", bundler.NewSigned(m, author, bundler.Signature{}), s.keys, unchanged, bundler.ErrUnknownKey},
		{"tampered part", bundler.NewSigned(m, author, reviewer), s.keys, lookup(func(h bundler.Hash, b []byte) []byte {
			if h == m.Hash(bundler.AdapterParts) {
				b[20] ^= 1
			}
			return b
		}), bundler.ErrHash},
		{"part missing", bundler.NewSigned(m, author, reviewer), s.keys, func(bundler.Hash) ([]byte, bool) { return nil, false }, bundler.ErrMissing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			encoded, err := c.signed.Encode()
			is.NoErr(err)
			decoded, err := bundler.DecodeSigned(encoded)
			is.NoErr(err)
			_, err = decoded.Open(c.keys, c.lookup)
			is.True(errors.Is(err, c.want)) // the error that the case expects
		})
	}
}

// Guards against accepting a signed manifest of wrong length or with invalid
// CBOR.
func TestDecodeSignedRejects(t *testing.T) {
	is := is.New(t)
	_, err := bundler.DecodeSigned([]byte("garbage"))
	is.True(err != nil)
	short, err := bundler.NewSigned(bundler.Manifest{}, bundler.Signature{}, bundler.Signature{}).Encode()
	is.NoErr(err)
	_, err = bundler.DecodeSigned(short)
	is.True(errors.Is(err, bundler.ErrEncoding))
}

// Guards against input from the network that makes a decoder panic, and against
// a record that changes when it is encoded and decoded.
func FuzzDecode(f *testing.F) {
	r := bundler.NewRecord(7, bundler.HashOf([]byte("a")), bundler.HashOf([]byte("b")), "v", "ana", "id", []string{"lj"}).WithStage(bundler.StageAccepted)
	encoded, err := r.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = bundler.DecodeSigned(data)
		first, err := bundler.DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := first.Encode()
		if err != nil {
			t.Fatal(err)
		}
		second, err := bundler.DecodeRecord(again)
		if err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("%v became %v, %v", first, second, err)
		}
	})
}

// Guards against a change that the diff for the review omits.
func TestDiff(t *testing.T) {
	is := is.New(t)
	a := parse(t, example(t))
	text := strings.Replace(example(t), `["v3"]`, `["v4"]`, 1)
	text = strings.Replace(text, `"retry_share": 0.1`, `"retry_share": 0.2`, 1)
	text = strings.Replace(text, `"reader-mb-1"`, `"reader-mb-2"`, 1)
	b := parse(t, text)
	is.True(bundler.Diff(a, a).IsEmpty())
	var subjects []string
	for _, c := range bundler.Diff(a, b).Changes() {
		switch c := c.(type) {
		case bundler.Added:
			subjects = append(subjects, "+"+c.Subject())
		case bundler.Removed:
			subjects = append(subjects, "-"+c.Subject())
		case bundler.Changed:
			subjects = append(subjects, "~"+c.Subject())
		}
	}
	is.Equal(subjects, []string{`-endpoint "reader-mb-1"`, `+endpoint "reader-mb-2"`, `~limits`, `~adapter "signature-reading"`})
}

// Measures the change of one adapter among 29,000: the bytes that a node
// fetches and the time of the rebuild, compared with a full bundle.
func BenchmarkOneAdapterChange(b *testing.B) {
	doc := large(b, 29_000-2)
	first := split(b, doc)
	previous, err := bundler.Rebuild(nil, 1, first.Manifest(), first.Part)
	if err != nil {
		b.Fatal(err)
	}
	doc.Adapters[100].Versions = []string{"2026-12-04"}
	second := split(b, doc)
	m := second.Manifest()
	total := 0
	for i := range bundler.AdapterParts + 1 {
		part, _ := second.Part(m.Hash(i))
		total += len(part)
	}
	changed, _ := second.Part(m.Hash(differing(first.Manifest(), m)[0]))
	signed, err := bundler.NewSigned(m, bundler.Signature{}, bundler.Signature{}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		previous *bundler.Snapshot
		bytes    int
	}{{"parts", previous, len(changed) + len(signed)}, {"whole", nil, total + len(signed)}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				if _, err := bundler.Rebuild(c.previous, 2, m, second.Part); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.bytes), "fetched-B")
		})
	}
}

// Measures the memory use of a snapshot with 29,000 adapters, and a lookup in
// it.
func BenchmarkSnapshot(b *testing.B) {
	content := split(b, large(b, 29_000-2))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, err := bundler.Rebuild(nil, 1, content.Manifest(), content.Part)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Adapter("branch-01234-amounts"); !ok {
			b.Fatal("adapter is missing")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
}
