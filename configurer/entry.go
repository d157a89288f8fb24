package configurer

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"
)

// Entry holds the settings of an entry host on the users' platform.
type Entry struct{ doc entryDocument }

// ReadEntry reads settings from a file. For invalid settings it returns an
// *Error.
func ReadEntry(path string) (*Entry, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parseEntry(path, src)
}

// ParseEntry parses settings. For invalid settings it returns an *Error.
func ParseEntry(src []byte) (*Entry, error) { return parseEntry("", src) }

// DefaultEntry returns the settings that apply where a file sets none. The host has no name
// and no addresses.
func DefaultEntry() *Entry { return &Entry{doc: defaultEntry()} }

func parseEntry(path string, src []byte) (*Entry, error) {
	e := &Entry{doc: defaultEntry()}
	d := decode(src, &e.doc)
	if !d.invalidJSON {
		checkEntry(d, &e.doc)
	}
	if err := d.asError(path); err != nil {
		return nil, err
	}
	return e, nil
}

// asError returns the faults as an *Error, ordered by position, or nil if there
// are none.
func (d *decoder) asError(path string) error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column), cmp.Compare(a.field, b.field))
	})
	return &Error{path: path, faults: d.faults}
}

func checkEntry(d *decoder, doc *entryDocument) {
	checkEntryNode(d, doc)
	checkEntryAddresses(d, doc)
	checkEntrySeeds(d, doc)
	checkEntryDurations(d, doc)
	checkEntryNumbers(d, doc)
	if !slices.Contains(adaptiveValues, doc.Endpoints.Adaptive) {
		d.reject("endpoints.adaptive", fmt.Sprint(adaptiveValues))
	}
	if !slices.Contains(logLevels, doc.Log.Level) {
		d.reject("log.level", fmt.Sprint(logLevels))
	}
}

func checkEntryNode(d *decoder, doc *entryDocument) {
	for field, v := range map[string]string{
		"node.name": doc.Node.Name, "node.data_centre": doc.Node.DataCentre, "node.region": doc.Node.Region,
	} {
		if !namePattern.MatchString(v) {
			d.reject(field, allowedName)
		}
	}
	if _, err := netip.ParseAddr(doc.Node.Address); err != nil {
		d.reject("node.address", "an IP address")
	}
}

func checkEntryAddresses(d *decoder, doc *entryDocument) {
	used := make(map[string]string)
	for _, l := range []struct{ field, v string }{
		{"listen.callers", doc.Listen.Callers},
		{"listen.readiness", doc.Listen.Readiness},
		{"listen.directory", doc.Listen.Directory},
		{"listen.peers", doc.Listen.Peers},
		{"listen.metrics", doc.Listen.Metrics},
		{"store.address", doc.Store.Address},
	} {
		if addr, err := netip.ParseAddrPort(l.v); err != nil || addr.Port() == 0 {
			d.reject(l.field, "an IP address and port such as 10.0.0.1:8443")
		} else if otherField, ok := used[l.v]; ok {
			d.reject(l.field, "another address than "+otherField)
		}
		used[l.v] = l.field
	}
}

func checkEntrySeeds(d *decoder, doc *entryDocument) {
	for i, v := range doc.Seeds {
		if _, err := netip.ParseAddrPort(v); err != nil {
			d.reject(fmt.Sprintf("seeds[%d]", i), "an IP address and port such as 10.0.0.1:8443")
		}
	}
}

func checkEntryDurations(d *decoder, doc *entryDocument) {
	for field, v := range map[string]duration{
		"lease.renew": doc.Lease.Renew, "lease.time": doc.Lease.Time, "lease.guard": doc.Lease.Guard,
		"repeats.window": doc.Repeats.Window, "quotas.window": doc.Quotas.Window, "stop.grace": doc.Stop.Grace,
		"endpoints.report_interval": doc.Endpoints.ReportInterval, "streams.lifetime": doc.Streams.Lifetime,
		"limits.read_timeout": doc.Limits.ReadTimeout, "limits.body_timeout": doc.Limits.BodyTimeout, "limits.idle_timeout": doc.Limits.IdleTimeout,
	} {
		if v <= 0 {
			d.reject(field, "a duration above 0")
		}
	}
	for field, v := range map[string]duration{
		"engines.prompt_token": doc.Engines.PromptToken, "engines.output_token": doc.Engines.OutputToken,
		"engines.adapter_load": doc.Engines.AdapterLoad,
	} {
		if v <= 0 || v > maxEngineTime {
			d.reject(field, fmt.Sprintf("a duration above 0 and at most %v", time.Duration(maxEngineTime)))
		}
	}
	if doc.Operator.InForce < minInForce || doc.Operator.InForce > maxInForce {
		d.reject("operator.in_force", fmt.Sprintf("a duration from %v to %v", time.Duration(minInForce), time.Duration(maxInForce)))
	}
	if doc.Lease.Time < 2*doc.Lease.Renew {
		d.reject("lease.time", "at least twice lease.renew")
	}
}

func checkEntryNumbers(d *decoder, doc *entryDocument) {
	if doc.Repeats.Ratio < 0 || doc.Repeats.Slack < 0 {
		d.reject("repeats", "numbers of 0 or more")
	}
	if doc.Quotas.Over < 0 || doc.Quotas.Over > 1 {
		d.reject("quotas.over", "a number from 0 to 1")
	}
	if doc.Quotas.Slack < 0 {
		d.reject("quotas.slack", "a number of 0 or more")
	}
	if doc.Limits.MemoryMB < minMemoryMB {
		d.reject("limits.memory_mb", fmt.Sprintf("at least %d", minMemoryMB))
	}
	if doc.Limits.MaxFiles != 0 && doc.Limits.MaxFiles < minFiles {
		d.reject("limits.max_fds", fmt.Sprintf("0 or at least %d", minFiles))
	}
	if doc.Limits.BodyRate < 0 {
		d.reject("limits.body_rate", "a number of 0 or more")
	}
	if doc.Limits.LinkMbps < 0 {
		d.reject("limits.link_mbps", "a number of 0 or more")
	}
}

// maxEngineTime is the longest time that may be assumed of an engine.
const maxEngineTime = duration(time.Minute)

// Bounds of the time within which a change of the operator is in force. Hosts that check the
// store more often than some three times a second would overload it.
const (
	minInForce = duration(time.Second)
	maxInForce = duration(time.Minute)
)

// minMemoryMB is less than an idle process needs.
const minMemoryMB = 32

// minFiles is less than the connections to other hosts, the store and endpoints need.
const minFiles = 128

// Name returns the name of the host in logs and metrics.
func (e *Entry) Name() string { return e.doc.Node.Name }

// Address returns the host's IP address, which identifies it.
func (e *Entry) Address() string { return e.doc.Node.Address }

// DataCentre returns the data centre of the host.
func (e *Entry) DataCentre() string { return e.doc.Node.DataCentre }

// Region returns the region of the host.
func (e *Entry) Region() string { return e.doc.Node.Region }

// Callers returns the listen address for callers.
func (e *Entry) Callers() string { return e.doc.Listen.Callers }

// Readiness returns the listen address for the platform's readiness checks.
func (e *Entry) Readiness() string { return e.doc.Listen.Readiness }

// Directory returns the listen address where callers look up which hosts to use.
func (e *Entry) Directory() string { return e.doc.Listen.Directory }

// Peers returns the listen address for other hosts.
func (e *Entry) Peers() string { return e.doc.Listen.Peers }

// Metrics returns the listen address for metrics.
func (e *Entry) Metrics() string { return e.doc.Listen.Metrics }

// Regions returns the region of each data centre by the name of the data centre.
func (e *Entry) Regions() map[string]string {
	regions := make(map[string]string, len(e.doc.DataCentres))
	for _, z := range e.doc.DataCentres {
		regions[z.Name] = z.Region
	}
	return regions
}

// Store returns the address of the platform's store.
func (e *Entry) Store() string { return e.doc.Store.Address }

// OperatorInForce returns the time within which a change of the operator has to be in force
// at all hosts after the store has acknowledged it.
func (e *Entry) OperatorInForce() time.Duration { return time.Duration(e.doc.Operator.InForce) }

// LeaseRenew returns the time between renewals of the host's lease.
func (e *Entry) LeaseRenew() time.Duration { return time.Duration(e.doc.Lease.Renew) }

// LeaseTime returns how long a lease lasts after a renewal.
func (e *Entry) LeaseTime() time.Duration { return time.Duration(e.doc.Lease.Time) }

// LeaseGuard returns the time that other hosts wait after a lease has ended.
func (e *Entry) LeaseGuard() time.Duration { return time.Duration(e.doc.Lease.Guard) }

// TakeoverDelay returns the time within which two hosts must not send orders to
// the same engine.
func (e *Entry) TakeoverDelay() time.Duration { return time.Duration(e.doc.Lease.TakeoverDelay) }

// RepeatRatio returns the number of repeats allowed per request of a service.
func (e *Entry) RepeatRatio() float64 { return e.doc.Repeats.Ratio }

// RepeatSlack returns the number of repeats per window that all hosts together
// may send in addition to the ratio.
func (e *Entry) RepeatSlack() float64 { return e.doc.Repeats.Slack }

// RepeatWindow returns the time window in which repeats are counted.
func (e *Entry) RepeatWindow() time.Duration { return time.Duration(e.doc.Repeats.Window) }

// QuotaWindow returns the time window in which the calls of a workspace are bounded.
func (e *Entry) QuotaWindow() time.Duration { return time.Duration(e.doc.Quotas.Window) }

// QuotaOver returns the share of what a quota allows in a window by which all hosts together
// may exceed it.
func (e *Entry) QuotaOver() float64 { return e.doc.Quotas.Over }

// QuotaSlack returns the units by which all hosts together may exceed a quota in addition.
func (e *Entry) QuotaSlack() float64 { return e.doc.Quotas.Slack }

// StopGrace returns the time between the request to stop and the end of the
// process.
func (e *Entry) StopGrace() time.Duration { return time.Duration(e.doc.Stop.Grace) }

// MemoryMB returns the memory limit of the process in MiB.
func (e *Entry) MemoryMB() int64 { return e.doc.Limits.MemoryMB }

// Seeds returns the peer addresses of the seeds, without this host. The port is that of
// listen.peers, because the platform gives the addresses of another service.
func (e *Entry) Seeds() []string {
	own := netip.MustParseAddrPort(e.doc.Listen.Peers)
	var list []string
	for _, text := range e.doc.Seeds {
		seed := netip.MustParseAddrPort(text).Addr()
		if seed != own.Addr() {
			list = append(list, netip.AddrPortFrom(seed, own.Port()).String())
		}
	}
	return list
}

// LinkMbps returns the bandwidth of the host's network link, or 0 if unknown.
func (e *Entry) LinkMbps() uint64 { return uint64(e.doc.Limits.LinkMbps) }

// BodyBytes returns the maximum size of a call's body.
func (e *Entry) BodyBytes() int64 { return e.doc.Limits.BodyBytes }

// MaxFiles returns the descriptor limit, or 0 if that of the process applies.
func (e *Entry) MaxFiles() int64 { return e.doc.Limits.MaxFiles }

// BodyTimeout returns how long a caller may take to send a body.
func (e *Entry) BodyTimeout() time.Duration { return time.Duration(e.doc.Limits.BodyTimeout) }

// BodyRate returns the average number of bytes a second at which a body must arrive.
func (e *Entry) BodyRate() int64 { return e.doc.Limits.BodyRate }

// HeaderBytes returns the maximum size of a call's headers.
func (e *Entry) HeaderBytes() int { return int(e.doc.Limits.HeaderBytes) }

// ReadTimeout returns how long a caller may take to send the headers.
func (e *Entry) ReadTimeout() time.Duration { return time.Duration(e.doc.Limits.ReadTimeout) }

// IdleTimeout returns how long a caller's connection may stay idle.
func (e *Entry) IdleTimeout() time.Duration { return time.Duration(e.doc.Limits.IdleTimeout) }

// PromptToken returns the time that an engine is assumed to take for a prompt token
// before its calls show how fast it is.
func (e *Entry) PromptToken() time.Duration { return time.Duration(e.doc.Engines.PromptToken) }

// OutputToken returns the assumed time for an output token.
func (e *Entry) OutputToken() time.Duration { return time.Duration(e.doc.Engines.OutputToken) }

// AdapterLoad returns the assumed time of an adapter's load from the weight store.
func (e *Entry) AdapterLoad() time.Duration { return time.Duration(e.doc.Engines.AdapterLoad) }

// Urgency reports whether calls carry their priority to engines.
func (e *Entry) Urgency() bool { return e.doc.Engines.Urgency }

// ReportInterval returns the time between two reports of an endpoint to the store.
func (e *Entry) ReportInterval() time.Duration { return time.Duration(e.doc.Endpoints.ReportInterval) }

// AdaptiveLimits reports whether the limits of calls in flight at plain endpoints follow the
// endpoints' answers, and whether that is so only for services whose endpoints report how
// long work takes.
func (e *Entry) AdaptiveLimits() (enabled, ifReported bool) {
	return e.doc.Endpoints.Adaptive != adaptiveNever, e.doc.Endpoints.Adaptive == adaptiveIfReported
}

// Values of endpoints.adaptive.
const (
	adaptiveNever      = "never"
	adaptiveIfReported = "reported"
	adaptiveAlways     = "always"
)

var adaptiveValues = []string{adaptiveNever, adaptiveIfReported, adaptiveAlways}

// StreamLifetime returns the time after which no caller resumes a stream.
func (e *Entry) StreamLifetime() time.Duration { return time.Duration(e.doc.Streams.Lifetime) }

// LogLevel returns the lowest log level that is written.
func (e *Entry) LogLevel() string { return e.doc.Log.Level }
