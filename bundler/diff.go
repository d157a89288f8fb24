package bundler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two bundles: Added, Removed or Changed.
type Change interface {
	// Subject names the changed entry, such as adapter "x" or limits.
	Subject() string
	String() string
	change()
}

// entry identifies the entry that a change is about.
type entry struct{ subject string }

func (e entry) Subject() string { return e.subject }
func (entry) change()           {}

// Added is an entry that only the new bundle has.
type Added struct {
	entry
	after string
}

// After returns the new entry as JSON.
func (a Added) After() string  { return a.after }
func (a Added) String() string { return "+ " + a.subject + " " + a.after }

// Removed is an entry that only the old bundle has.
type Removed struct {
	entry
	before string
}

// Before returns the old entry as JSON.
func (r Removed) Before() string { return r.before }
func (r Removed) String() string { return "- " + r.subject + " " + r.before }

// Changed is an entry that both bundles have with different content.
type Changed struct {
	entry
	before string
	after  string
}

// Before returns the old entry as JSON.
func (c Changed) Before() string { return c.before }

// After returns the new entry as JSON.
func (c Changed) After() string { return c.after }

func (c Changed) String() string {
	return "~ " + c.subject + "\n    before " + c.before + "\n    after  " + c.after
}

// Difference lists the changes from one bundle to another.
type Difference struct {
	changes []Change
}

// Changes returns the changes, sorted by name within each kind of entry. The
// kinds are in the order of the document, except that adapters and traffic come
// last.
func (d *Difference) Changes() []Change { return d.changes }

// IsEmpty reports whether the bundles are equal except for their version.
func (d *Difference) IsEmpty() bool { return len(d.changes) == 0 }

func (d *Difference) String() string {
	if d.IsEmpty() {
		return "no differences\n"
	}
	var b strings.Builder
	for _, c := range d.changes {
		b.WriteString(c.String() + "\n")
	}
	return b.String()
}

// Diff compares two bundles for review; a may be nil. It ignores the version,
// because every bundle has a version of its own.
func Diff(a, b *Document) *Difference {
	if a == nil {
		a = &Document{}
	}
	d := &Difference{}
	diffList(d, "region", a.Regions, b.Regions, func(r RegionDocument) string { return r.Name })
	diffList(d, "base", a.Bases, b.Bases, func(b BaseDocument) string { return b.Name })
	diffList(d, "service", a.Services, b.Services, func(s ServiceDocument) string { return s.Name })
	diffList(d, "endpoint", a.Endpoints, b.Endpoints, func(e EndpointDocument) string { return e.Name })
	d.compare("weights", toJSON(a.Weights), toJSON(b.Weights))
	d.compare("limits", toJSON(a.Limits), toJSON(b.Limits))
	diffList(d, "service level", a.ServiceLevels, b.ServiceLevels, func(l ServiceLevelDocument) string { return l.Name })
	diffList(d, "adapter", a.Adapters, b.Adapters, func(a AdapterDocument) string { return a.Name })
	diffList(d, "traffic of", a.Traffic, b.Traffic, func(t TrafficDocument) string { return t.Adapter })
	return d
}

func diffList[T any](d *Difference, kind string, a, b []T, name func(T) string) {
	before, after := make(map[string]string, len(a)), make(map[string]string, len(b))
	var all []string
	for _, v := range a {
		before[name(v)] = toJSON(v)
		all = append(all, name(v))
	}
	for _, v := range b {
		after[name(v)] = toJSON(v)
		all = append(all, name(v))
	}
	slices.Sort(all)
	for _, n := range slices.Compact(all) {
		d.compare(fmt.Sprintf("%s %q", kind, n), before[n], after[n])
	}
}

// compare records the change between two encoded entries, if any. An empty
// string means that the bundle has no such entry.
func (d *Difference) compare(subject, before, after string) {
	e := entry{subject: subject}
	switch {
	case before == after:
	case before == "":
		d.changes = append(d.changes, Added{entry: e, after: after})
	case after == "":
		d.changes = append(d.changes, Removed{entry: e, before: before})
	default:
		d.changes = append(d.changes, Changed{entry: e, before: before, after: after})
	}
}

func toJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error() // unreachable: all document types can be encoded
	}
	return string(b)
}
