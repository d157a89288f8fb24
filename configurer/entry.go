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

// ReadEntry reads the settings in a file. Settings that are wrong give an *Error.
func ReadEntry(path string) (*Entry, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return parseEntry(path, src)
}

// ParseEntry reads settings. Settings that are wrong give an *Error.
func ParseEntry(src []byte) (*Entry, error) { return parseEntry("", src) }

func parseEntry(path string, src []byte) (*Entry, error) {
	e := &Entry{doc: defaultEntry()}
	d := decode(src, &e.doc)
	if !d.unreadable {
		checkEntry(d, &e.doc)
	}
	if err := d.verdict(path); err != nil {
		return nil, err
	}
	return e, nil
}

// verdict returns the faults in the order of the file, or nil.
func (d *decoder) verdict(path string) error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column), cmp.Compare(a.field, b.field))
	})
	return &Error{path: path, faults: d.faults}
}

func checkEntry(d *decoder, doc *entryDocument) {
	for field, v := range map[string]string{
		"node.name": doc.Node.Name, "node.data_centre": doc.Node.DataCentre, "node.region": doc.Node.Region,
	} {
		if !names.MatchString(v) {
			d.refuse(field, allowedName)
		}
	}
	if _, err := netip.ParseAddr(doc.Node.Address); err != nil {
		d.refuse("node.address", "an IP address")
	}
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
			d.refuse(l.field, "an IP address and port such as 10.0.0.1:8443")
		} else if other, ok := used[l.v]; ok {
			d.refuse(l.field, "another address than "+other)
		}
		used[l.v] = l.field
	}
	for field, v := range map[string]duration{
		"lease.renew": doc.Lease.Renew, "lease.time": doc.Lease.Time, "lease.guard": doc.Lease.Guard,
		"repeats.window": doc.Repeats.Window, "stop.grace": doc.Stop.Grace,
		"limits.read_timeout": doc.Limits.ReadTime, "limits.idle_timeout": doc.Limits.IdleTime,
	} {
		if v <= 0 {
			d.refuse(field, "a duration above 0")
		}
	}
	if doc.Lease.Time < 2*doc.Lease.Renew {
		d.refuse("lease.time", "at least twice lease.renew")
	}
	if doc.Repeats.Ratio < 0 || doc.Repeats.Slack < 0 {
		d.refuse("repeats", "numbers of 0 or more")
	}
	if doc.Limits.MemoryMB < minMemoryMB {
		d.refuse("limits.memory_mb", fmt.Sprintf("at least %d", minMemoryMB))
	}
	if doc.Limits.LinkMbps < 0 {
		d.refuse("limits.link_mbps", "a number of 0 or more")
	}
	if !slices.Contains(levels, doc.Log.Level) {
		d.refuse("log.level", fmt.Sprint(levels))
	}
}

// minMemoryMB is below what an idle process needs.
const minMemoryMB = 32

// Name returns the host's name in logs and metrics.
func (e *Entry) Name() string { return e.doc.Node.Name }

// Address returns the host's IP address, which identifies it.
func (e *Entry) Address() string { return e.doc.Node.Address }

// DataCentre returns the data centre of the host.
func (e *Entry) DataCentre() string { return e.doc.Node.DataCentre }

// Region returns the region of the host.
func (e *Entry) Region() string { return e.doc.Node.Region }

// Callers returns the address for callers.
func (e *Entry) Callers() string { return e.doc.Listen.Callers }

// Readiness returns the address for the platform's checks.
func (e *Entry) Readiness() string { return e.doc.Listen.Readiness }

// Directory returns the address where callers ask which hosts to use.
func (e *Entry) Directory() string { return e.doc.Listen.Directory }

// Peers returns the address for other hosts.
func (e *Entry) Peers() string { return e.doc.Listen.Peers }

// Metrics returns the address that metrics are served on.
func (e *Entry) Metrics() string { return e.doc.Listen.Metrics }

// Regions returns the region of each data centre.
func (e *Entry) Regions() map[string]string {
	regions := make(map[string]string, len(e.doc.Zones))
	for _, z := range e.doc.Zones {
		regions[z.Name] = z.Region
	}
	return regions
}

// Store returns the address of the platform's store.
func (e *Entry) Store() string { return e.doc.Store.Address }

// LeaseRenew returns how often the host renews its lease.
func (e *Entry) LeaseRenew() time.Duration { return time.Duration(e.doc.Lease.Renew) }

// LeaseTime returns how long a renewal is good for.
func (e *Entry) LeaseTime() time.Duration { return time.Duration(e.doc.Lease.Time) }

// LeaseGuard returns what an observer adds to a lease.
func (e *Entry) LeaseGuard() time.Duration { return time.Duration(e.doc.Lease.Guard) }

// TakeoverDelay returns the time within which two hosts must not give an engine orders.
func (e *Entry) TakeoverDelay() time.Duration { return time.Duration(e.doc.Lease.Turns) }

// RepeatRatio returns how many repeats each request of a service earns.
func (e *Entry) RepeatRatio() float64 { return e.doc.Repeats.Ratio }

// RepeatSlack returns how many repeats all hosts together may add in a window.
func (e *Entry) RepeatSlack() float64 { return e.doc.Repeats.Slack }

// RepeatWindow returns the window that repeats are counted in.
func (e *Entry) RepeatWindow() time.Duration { return time.Duration(e.doc.Repeats.Window) }

// StopGrace returns the time between the request to stop and the end of the process.
func (e *Entry) StopGrace() time.Duration { return time.Duration(e.doc.Stop.Grace) }

// MemoryMB returns the memory that the process may use.
func (e *Entry) MemoryMB() int64 { return e.doc.Limits.MemoryMB }

// LinkMbps returns the bandwidth of the host's link, or 0 if it is not known.
func (e *Entry) LinkMbps() uint64 { return uint64(e.doc.Limits.LinkMbps) }

// BodyBytes returns the longest body of a call.
func (e *Entry) BodyBytes() int64 { return e.doc.Limits.BodyBytes }

// HeaderBytes returns the longest header of a call.
func (e *Entry) HeaderBytes() int { return int(e.doc.Limits.Header) }

// ReadTimeout returns how long a caller may take to send a header.
func (e *Entry) ReadTimeout() time.Duration { return time.Duration(e.doc.Limits.ReadTime) }

// IdleTimeout returns how long a connection of a caller may be idle.
func (e *Entry) IdleTimeout() time.Duration { return time.Duration(e.doc.Limits.IdleTime) }

// LogLevel returns the lowest level that is logged.
func (e *Entry) LogLevel() string { return e.doc.Log.Level }
