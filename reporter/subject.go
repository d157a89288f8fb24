package reporter

import "strings"

// Subject is the subject of an event: an Adapter, Services or OtherAdapters.
type Subject interface {
	// String returns the name in reports.
	String() string
	subject()
}

// Adapter is an adapter that is counted by name, because it is among those with
// the most requests of a node.
type Adapter struct{ name string }

// NewAdapter returns the subject of an adapter.
func NewAdapter(name string) Adapter { return Adapter{name: name} }

// Name returns the adapter's name.
func (a Adapter) Name() string { return a.name }

// Services is the subject of all calls to services without adapters.
type Services struct{}

// OtherAdapters is the subject of all adapters that are not counted by name.
type OtherAdapters struct{}

func (a Adapter) String() string     { return a.name }
func (Services) String() string      { return "services" }
func (OtherAdapters) String() string { return "other adapters" }

func (Adapter) subject()       {}
func (Services) subject()      {}
func (OtherAdapters) subject() {}

// Scope is the set of events that a line of a report covers: Everywhere, InRegion
// or OfSubject.
type Scope interface {
	// String returns the name in reports.
	String() string
	scope()
}

// Everywhere covers all events of a level.
type Everywhere struct{}

// InRegion covers the events that were counted by the nodes of one region.
type InRegion struct{ region string }

// Region returns the region's name.
func (r InRegion) Region() string { return r.region }

// OfSubject covers the events of one subject in all regions.
type OfSubject struct{ subject Subject }

// Subject returns the subject.
func (s OfSubject) Subject() Subject { return s.subject }

func (Everywhere) String() string { return "everywhere" }
func (r InRegion) String() string { return "region " + r.region }

func (s OfSubject) String() string {
	if a, ok := s.subject.(Adapter); ok {
		return "adapter " + a.name
	}
	return s.subject.String()
}

func (Everywhere) scope() {}
func (InRegion) scope()   {}
func (OfSubject) scope()  {}

// rank returns a sort key that orders scopes from wide to narrow.
func rank(s Scope) int {
	switch s.(type) {
	case Everywhere:
		return 0
	case InRegion:
		return 1
	default:
		return 2
	}
}

func compareScopes(a, b Scope) int {
	if r := rank(a) - rank(b); r != 0 {
		return r
	}
	return strings.Compare(a.String(), b.String())
}
