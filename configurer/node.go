package configurer

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Node holds the settings of a node, which do not change while it runs.
type Node struct {
	doc nodeDocument
}

// ReadNode reads settings from a file. For invalid settings it returns an *Error.
func ReadNode(path string) (*Node, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parseNode(path, src)
}

// ParseNode parses settings. For invalid settings it returns an *Error.
func ParseNode(src []byte) (*Node, error) { return parseNode("", src) }

func parseNode(path string, src []byte) (*Node, error) {
	n := &Node{doc: defaultNode()}
	d := decode(src, &n.doc)
	if !d.invalidJSON {
		c := &checker{decoder: d, doc: &n.doc}
		c.check()
	}
	if err := d.asError(path); err != nil {
		return nil, err
	}
	return n, nil
}

// Name returns the node's name, which is unique in the deployment.
func (n *Node) Name() string { return n.doc.Node.Name }

// Region returns the node's region.
func (n *Node) Region() string { return n.doc.Node.Region }

// DataCentre returns the node's data centre.
func (n *Node) DataCentre() string { return n.doc.Node.DataCentre }

// Addresses are the addresses of a node for callers, peers and operators.
type Addresses struct {
	doc listenDocument
}

// Callers returns the address for callers.
func (a Addresses) Callers() string { return a.doc.Callers }

// Peers returns the address for other nodes.
func (a Addresses) Peers() string { return a.doc.Peers }

// Operators returns the address for operators, or "" if there is none.
func (a Addresses) Operators() string { return a.doc.Operators }

// Listen returns the addresses that the node listens on.
func (n *Node) Listen() Addresses { return Addresses{n.doc.Listen} }

// Advertise returns the addresses that callers, peers and operators connect to.
func (n *Node) Advertise() Addresses { return Addresses{n.doc.Advertise} }

// Table returns the URL of the table service.
func (n *Node) Table() string { return n.doc.Platform.Table }

// Objects returns the URL of the object store.
func (n *Node) Objects() string { return n.doc.Platform.Objects }

// Hosts returns the URL of the host list.
func (n *Node) Hosts() string { return n.doc.Platform.Hosts }

// BundleKeys returns the public keys that may sign bundles.
func (n *Node) BundleKeys() bundler.Keys {
	keys := make(map[string]ed25519.PublicKey)
	for _, k := range n.doc.Bundle.Keys {
		if key, ok := publicKey(k.PublicKey); ok {
			keys[k.Name] = key
		}
	}
	return bundler.NewKeys(keys, n.doc.Bundle.Revoked...)
}

// RevokedKeys returns the names of the keys that may no longer sign bundles.
func (n *Node) RevokedKeys() []string { return slices.Clone(n.doc.Bundle.Revoked) }

// Limits are limits on the calls that a node accepts.
type Limits struct {
	doc limitsDocument
}

// Limits returns the node's limits.
func (n *Node) Limits() Limits { return Limits{n.doc.Limits} }

// BodyBytes returns the maximum size of a call's body.
func (l Limits) BodyBytes() int64 { return l.doc.BodyBytes }

// HeaderBytes returns the maximum size of a call's headers.
func (l Limits) HeaderBytes() int { return int(l.doc.HeaderBytes) }

// PromptBytes returns the maximum size of a prompt.
func (l Limits) PromptBytes() int { return int(l.doc.PromptBytes) }

// MaxTokens returns the maximum length of an answer in tokens.
func (l Limits) MaxTokens() int { return int(l.doc.MaxTokens) }

// DefaultTokens returns the length limit, in tokens, of calls that set none.
func (l Limits) DefaultTokens() int { return int(l.doc.DefaultTokens) }

// Running returns the maximum number of requests that run at a time.
func (l Limits) Running() int { return int(l.doc.Running) }

// Waiting returns the maximum number of requests that wait for a slot.
func (l Limits) Waiting() int { return int(l.doc.Waiting) }

// BodyMemory returns the memory for the bodies of all open requests, in bytes.
func (l Limits) BodyMemory() int64 { return l.doc.BodyMemory }

// OpenRequests returns the maximum number of open requests, including those whose
// body is still being read.
func (l Limits) OpenRequests() int { return int(l.doc.OpenRequests) }

// Attempts returns the maximum number of attempts of an idempotent request.
func (l Limits) Attempts() int { return int(l.doc.Attempts) }

// Decisions returns the number of decisions that the recorder keeps.
func (l Limits) Decisions() int { return int(l.doc.Decisions) }

// DefaultTimeout returns the timeout of calls that set none.
func (l Limits) DefaultTimeout() time.Duration { return time.Duration(l.doc.DefaultTimeout) }

// MaxTimeout returns the longest timeout that a caller may set.
func (l Limits) MaxTimeout() time.Duration { return time.Duration(l.doc.MaxTimeout) }

// ReadTimeout returns how long headers and body may take to arrive.
func (l Limits) ReadTimeout() time.Duration { return time.Duration(l.doc.ReadTimeout) }

// WriteTimeout returns how long one write to a caller may take.
func (l Limits) WriteTimeout() time.Duration { return time.Duration(l.doc.WriteTimeout) }

// IdleTimeout returns how long a connection stays open without a request.
func (l Limits) IdleTimeout() time.Duration { return time.Duration(l.doc.IdleTimeout) }

// LeaseTime returns how long a node's lease lasts without a renewal.
func (n *Node) LeaseTime() time.Duration { return time.Duration(n.doc.Lease.Time) }

// LeaseGuard returns how long other nodes wait after the end of a lease.
func (n *Node) LeaseGuard() time.Duration { return time.Duration(n.doc.Lease.Guard) }

// LeaseRenew returns the time between renewals.
func (n *Node) LeaseRenew() time.Duration { return time.Duration(n.doc.Lease.Renew) }

// EntryTTL returns how long callers may cache entry addresses.
func (n *Node) EntryTTL() time.Duration { return time.Duration(n.doc.Entries.TTL) }

// DrainGrace returns how long a stopping node still accepts calls after it is
// removed from the entries.
func (n *Node) DrainGrace() time.Duration { return time.Duration(n.doc.Entries.DrainGrace) }

// TLS holds the paths of a certificate and its private key.
type TLS struct {
	doc tlsDocument
}

// TLS returns the certificate files for the caller and operator listeners. It
// returns false if none are set.
func (n *Node) TLS() (TLS, bool) { return TLS{n.doc.TLS}, n.doc.TLS.CertificateFile != "" }

// CertificateFile returns the path of the certificate chain.
func (t TLS) CertificateFile() string { return t.doc.CertificateFile }

// KeyFile returns the path of the private key.
func (t TLS) KeyFile() string { return t.doc.KeyFile }

// ReloadInterval returns how often the files are read again.
func (t TLS) ReloadInterval() time.Duration { return time.Duration(t.doc.ReloadInterval) }

// Key is the name and hash of a secret key of a caller or operator.
type Key struct {
	name string
	hash [sha256.Size]byte
}

// Name returns the name of the key's holder.
func (k Key) Name() string { return k.name }

// Hash returns the SHA-256 of the key.
func (k Key) Hash() [sha256.Size]byte { return k.hash }

// CallerKeys returns the keys of callers. If there are none, callers need no key.
func (n *Node) CallerKeys() []Key { return newKeys(n.doc.Callers) }

// OperatorKeys returns the keys of operators.
func (n *Node) OperatorKeys() []Key { return newKeys(n.doc.Operators) }

func newKeys(docs []keyDocument) []Key {
	keys := make([]Key, 0, len(docs))
	for _, d := range docs {
		if hash, ok := keyHash(d.KeySHA256); ok {
			keys = append(keys, Key{name: d.Name, hash: hash})
		}
	}
	return keys
}

// ReportRetention returns how long the service level history is kept.
func (n *Node) ReportRetention() time.Duration { return time.Duration(n.doc.Report.Retention) }

// LogLevel returns the lowest log level that is written.
func (n *Node) LogLevel() string { return n.doc.Log.Level }
