package commander

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Errors of commands.
var (
	// ErrChanged reports a bundle that does not match its signed manifest.
	ErrChanged = eris.New("the bundle was changed after it was signed; sign it again")
	// ErrUnsigned reports a bundle that lacks a signature required by a command.
	ErrUnsigned = eris.New("signature is missing")
	// ErrInvalidConfiguration reports a configuration that is not readable or that hosts
	// would reject.
	ErrInvalidConfiguration = eris.New("a configuration is not readable or hosts would reject it")
	// ErrNotInForce reports a roll-out whose bundle is not in force.
	ErrNotInForce = eris.New("the bundle is not in force")
	// ErrDeclined reports that the operator did not confirm a review.
	ErrDeclined = eris.New("review is not confirmed; nothing was signed")
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// signaturesDocument is the file with the signatures of a bundle, stored next to
// the bundle file.
type signaturesDocument struct {
	Manifest string             `json:"manifest"`
	Author   *signatureDocument `json:"author,omitempty"`
	Reviewer *signatureDocument `json:"reviewer,omitempty"`
}

type signatureDocument struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

func newSignatureDocument(s bundler.Signature) *signatureDocument {
	return &signatureDocument{Key: s.Key(), Value: s.Value()}
}

func (d *signatureDocument) signature() bundler.Signature {
	return bundler.NewSignature(d.Key, d.Value)
}

// bundleFile is a parsed bundle file with its signatures.
type bundleFile struct {
	path       string
	doc        *bundler.Document
	content    *bundler.Content
	signatures signaturesDocument
}

// openFile reads and validates a bundle file, and reads its signatures if there
// are any.
func openFile(path string) (*bundleFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingError{setting: "FILE", value: path, allowed: "a readable bundle file: " + err.Error()}
	}
	doc, err := bundler.Parse(data)
	if err != nil {
		return nil, &fileError{path: path, err: err}
	}
	content, err := bundler.Split(doc)
	if err != nil {
		return nil, err
	}
	f := &bundleFile{path: path, doc: doc, content: content}
	return f, f.readSignatures()
}

// openForSigning reads the operator's private key and the bundle file to sign.
func (s *Settings) openForSigning(path string) (ed25519.PrivateKey, *bundleFile, error) {
	key, err := s.privateKey()
	if err != nil {
		return nil, nil, err
	}
	f, err := openFile(path)
	if err != nil {
		return nil, nil, err
	}
	return key, f, nil
}

func (f *bundleFile) signaturesPath() string { return f.path + ".signatures" }

func (f *bundleFile) readSignatures() error {
	data, err := os.ReadFile(f.signaturesPath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read signatures: %w", err)
	}
	if err := json.Unmarshal(data, &f.signatures); err != nil {
		return fmt.Errorf("read %s: %w", f.signaturesPath(), err)
	}
	return nil
}

func (f *bundleFile) writeSignatures() error {
	data, err := json.MarshalIndent(f.signatures, "", "  ")
	if err != nil {
		return fmt.Errorf("encode signatures: %w", err)
	}
	if err := os.WriteFile(f.signaturesPath(), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write signatures: %w", err)
	}
	return nil
}

// verifyAuthor verifies the author's signature and returns it.
func (f *bundleFile) verifyAuthor(keys bundler.Keys) (bundler.Signature, error) {
	if f.signatures.Author == nil {
		return bundler.Signature{}, fmt.Errorf("author of %s: %w", f.path, ErrUnsigned)
	}
	if f.signatures.Manifest != f.content.Manifest().Digest().String() {
		return bundler.Signature{}, fmt.Errorf("%s: %w", f.path, ErrChanged)
	}
	author := f.signatures.Author.signature()
	return author, keys.Verify(bundler.RoleAuthor, author, f.content.Manifest())
}

// verifySigned verifies both signatures and returns the signed manifest.
func (f *bundleFile) verifySigned(keys bundler.Keys) (*bundler.Signed, error) {
	author, err := f.verifyAuthor(keys)
	if err != nil {
		return nil, err
	}
	if f.signatures.Reviewer == nil {
		return nil, fmt.Errorf("reviewer of %s: %w", f.path, ErrUnsigned)
	}
	signed := bundler.NewSigned(f.content.Manifest(), author, f.signatures.Reviewer.signature())
	return signed, signed.Verify(keys)
}

// fileError prefixes each fault of a bundle with the file name, as compilers do.
type fileError struct {
	path string
	err  error
}

func (e *fileError) Unwrap() error { return e.err }

func (e *fileError) Error() string {
	var parse *bundler.ParseError
	if !errors.As(e.err, &parse) {
		return e.path + ": " + e.err.Error()
	}
	text := ""
	for i, f := range parse.Faults() {
		if i > 0 {
			text += "\n"
		}
		text += e.path + ":" + f.String()
	}
	return text
}
