package configurer

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// checker validates a decoded document whose fields have the right types.
type checker struct {
	*decoder
	doc *nodeDocument
}

func (c *checker) check() {
	c.checkIdentity()
	c.checkAddresses()
	c.checkPlatform()
	c.checkBundle()
	c.checkLimits()
	c.checkDurations()
	c.checkTLS()
	c.checkKeys("callers", c.doc.Callers)
	c.checkKeys("operators", c.doc.Operators)
	if !slices.Contains(logLevels, c.doc.Log.Level) {
		c.reject("log.level", strings.Join(logLevels, ", "))
	}
}

var logLevels = []string{"debug", "info", "warn", "error"}

// namePattern matches allowed names. Names are used in keys of table rows and as
// metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const allowedName = "up to 63 letters, digits, dots, dashes and underscores"

func (c *checker) checkIdentity() {
	for field, v := range map[string]string{
		"node.name":        c.doc.Node.Name,
		"node.region":      c.doc.Node.Region,
		"node.data_centre": c.doc.Node.DataCentre,
	} {
		if !namePattern.MatchString(v) {
			c.reject(field, allowedName)
		}
	}
}

// checkAddresses checks the addresses that the node listens on and advertises.
// Nodes identify each other by IP address, so a listener on all addresses needs
// an explicit advertised address.
func (c *checker) checkAddresses() {
	l, a := &c.doc.Listen, &c.doc.Advertise
	used := make(map[netip.AddrPort]string)
	c.checkAddress("callers", l.Callers, &a.Callers, used)
	c.checkAddress("peers", l.Peers, &a.Peers, used)
	c.checkAddress("operators", l.Operators, &a.Operators, used)
	if len(c.doc.Operators) == 0 && l.Operators != "" {
		c.reject("operators", "at least one key while listen.operators is set")
	}
}

func (c *checker) checkAddress(name, listen string, advertise *string, used map[netip.AddrPort]string) {
	field := "listen." + name
	if listen == "" && name == "operators" && *advertise == "" {
		return // the operator listener is optional
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil || addr.Port() == 0 {
		c.reject(field, "an IP address and port such as 10.0.0.1:8443")
		return
	}
	if other, ok := used[addr]; ok {
		c.reject(field, "another address than listen."+other)
	}
	used[addr] = name
	if *advertise == "" && !addr.Addr().IsUnspecified() {
		*advertise = listen
		return
	}
	advertised, err := netip.ParseAddrPort(*advertise)
	if err != nil || advertised.Port() == 0 || advertised.Addr().IsUnspecified() {
		c.reject("advertise."+name, "the IP address and port that others use, because listen."+name+" is "+listen)
	}
}

func (c *checker) checkPlatform() {
	for field, v := range map[string]string{
		"platform.table":   c.doc.Platform.Table,
		"platform.objects": c.doc.Platform.Objects,
		"platform.hosts":   c.doc.Platform.Hosts,
	} {
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
			c.reject(field, "an http or https URL without credentials")
		}
	}
}

// minSigners is the number of keys that sign a bundle: the author's and the
// reviewer's.
const minSigners = 2

func (c *checker) checkBundle() {
	var known []string
	for i, k := range c.doc.Bundle.Keys {
		field := fmt.Sprintf("bundle.keys[%d]", i)
		if !namePattern.MatchString(k.Name) || slices.Contains(known, k.Name) {
			c.reject(field+".name", "a name that no other key has, of "+allowedName)
		}
		if _, ok := publicKey(k.PublicKey); !ok {
			c.reject(field+".public_key", "an Ed25519 public key of 32 bytes in base64")
		}
		known = append(known, k.Name)
	}
	valid := len(known)
	for i, name := range c.doc.Bundle.Revoked {
		if !slices.Contains(known, name) {
			c.reject(fmt.Sprintf("bundle.revoked[%d]", i), "the name of a key in bundle.keys")
			continue
		}
		valid--
	}
	if valid < minSigners {
		c.reject("bundle.keys", fmt.Sprintf("at least %d keys that are not revoked, for author and reviewer", minSigners))
	}
}

func publicKey(text string) (ed25519.PublicKey, bool) {
	raw, err := base64.StdEncoding.DecodeString(text)
	return raw, err == nil && len(raw) == ed25519.PublicKeySize
}

// atLeast rejects numbers below a lower bound.
func (c *checker) atLeast(field string, v, lowest int64) {
	if v < lowest {
		c.reject(field, fmt.Sprintf("%d or more", lowest))
	}
}

// atMost rejects a field whose value is larger than that of another field. If the
// source does not set the field, the fault is reported for the other one.
func (c *checker) atMost(field string, v int64, other string, bound int64) {
	if v <= bound {
		return
	}
	if !c.has(field) {
		field, other = other, field
		c.reject(field, "not less than "+other)
		return
	}
	c.reject(field, "not more than "+other)
}

// Lower bounds of size limits, in bytes, that still allow an ordinary call.
const (
	minBody = 1 << 10
	// minBodyMemory is how often body_memory must hold the largest body: the server counts
	// a body twice while it is read and reserves a quarter for small ones.
	minBodyMemory = 3
	minHeader     = 1 << 10
)

func (c *checker) checkLimits() {
	l := &c.doc.Limits
	c.atLeast("limits.body_bytes", l.BodyBytes, minBody)
	c.atLeast("limits.body_memory", l.BodyMemory, minBodyMemory*l.BodyBytes)
	c.atLeast("limits.header_bytes", l.HeaderBytes, minHeader)
	c.atLeast("limits.prompt_bytes", l.PromptBytes, 1)
	c.atLeast("limits.max_tokens", l.MaxTokens, 1)
	c.atLeast("limits.default_tokens", l.DefaultTokens, 1)
	c.atLeast("limits.running", l.Running, 1)
	c.atLeast("limits.waiting", l.Waiting, 0)
	c.atLeast("limits.open_requests", l.OpenRequests, 1)
	c.atLeast("limits.attempts", l.Attempts, 1)
	c.atLeast("limits.decisions", l.Decisions, 1)
	c.atMost("limits.prompt_bytes", l.PromptBytes, "limits.body_bytes", l.BodyBytes)
	c.atMost("limits.default_tokens", l.DefaultTokens, "limits.max_tokens", l.MaxTokens)
	c.atMost("limits.running", l.Running, "limits.open_requests", l.OpenRequests)
}

// minDuration is the lower bound of durations. Shorter ones would keep the node
// busy with timers.
const minDuration = 10 * time.Millisecond

func (c *checker) checkDurations() {
	durations := []struct {
		field string
		value duration
	}{
		{"limits.default_timeout", c.doc.Limits.DefaultTimeout},
		{"limits.max_timeout", c.doc.Limits.MaxTimeout},
		{"limits.read_timeout", c.doc.Limits.ReadTimeout},
		{"limits.write_timeout", c.doc.Limits.WriteTimeout},
		{"limits.idle_timeout", c.doc.Limits.IdleTimeout},
		{"lease.time", c.doc.Lease.Time},
		{"lease.guard", c.doc.Lease.Guard},
		{"lease.renew", c.doc.Lease.Renew},
		{"entries.ttl", c.doc.Entries.TTL},
		{"tls.reload_interval", c.doc.TLS.ReloadInterval},
	}
	for _, t := range durations {
		if time.Duration(t.value) < minDuration {
			c.reject(t.field, fmt.Sprintf("a duration of %v or more", minDuration))
		}
	}
	if c.doc.Entries.DrainGrace < 0 {
		c.reject("entries.drain_grace", "a duration of 0s or more")
	}
	c.atMost("limits.default_timeout", int64(c.doc.Limits.DefaultTimeout), "limits.max_timeout", int64(c.doc.Limits.MaxTimeout))
	if time.Duration(c.doc.Report.Retention) < minRetention {
		c.reject("report.retention", "72h or more, the longest window of the burn report")
	}
	// Callers use a resolved address until its TTL ends, so a stopping node must
	// serve at least that long.
	c.atMost("entries.ttl", int64(c.doc.Entries.TTL), "entries.drain_grace", int64(c.doc.Entries.DrainGrace))
	c.checkRenewal()
}

// checkRenewal ensures that a lease survives one lost renewal.
func (c *checker) checkRenewal() {
	if 2*c.doc.Lease.Renew <= c.doc.Lease.Time {
		return
	}
	if c.has("lease.renew") {
		c.reject("lease.renew", "not more than half of lease.time")
		return
	}
	c.reject("lease.time", fmt.Sprintf("at least twice lease.renew, which is %v", time.Duration(c.doc.Lease.Renew)))
}

func (c *checker) checkTLS() {
	t := &c.doc.TLS
	if (t.CertificateFile == "") == (t.KeyFile == "") {
		return
	}
	if t.KeyFile == "" {
		c.reject("tls.key_file", "a file, because tls.certificate_file is set")
		return
	}
	c.reject("tls.certificate_file", "a file, because tls.key_file is set")
}

func (c *checker) checkKeys(list string, keys []keyDocument) {
	var known []string
	for i, k := range keys {
		field := fmt.Sprintf("%s[%d]", list, i)
		if !namePattern.MatchString(k.Name) || slices.Contains(known, k.Name) {
			c.reject(field+".name", "a name that no other key has, of "+allowedName)
		}
		if _, ok := keyHash(k.KeySHA256); !ok {
			c.reject(field+".key_sha256", "the SHA-256 of the key in 64 hexadecimal digits")
		}
		known = append(known, k.Name)
	}
}

func keyHash(text string) (hash [sha256.Size]byte, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		return hash, false
	}
	copy(hash[:], raw)
	return hash, true
}
