package reporter

import "strings"

// Subject is what an event is about: an Adapter, Services or Others.
type Subject interface {
	// String returns the name that reports show.
	String() string
	subject()
}

// Adapter is one of the adapters with the most requests of a node.
type Adapter struct{ name string }

// NewAdapter returns the subject of an adapter.
func NewAdapter(name string) Adapter { return Adapter{name: name} }

// Name returns the adapter's name.
func (a Adapter) Name() string { return a.name }

// Services stands for all calls of plain services.
type Services struct{}

// OtherAdapters stands for all adapters that a node does not count by name.
type OtherAdapters struct{}

func (a Adapter) String() string     { return a.name }
func (Services) String() string      { return "services" }
func (OtherAdapters) String() string { return "other adapters" }

func (Adapter) subject()       {}
func (Services) subject()      {}
func (OtherAdapters) subject() {}

// Scope is what a line of a report covers: Everywhere, InRegion or OfSubject.
type Scope interface {
	// String returns the name that reports show.
	String() string
	scope()
}

// Everywhere covers all events of a level.
type Everywhere struct{}

// InRegion covers the events that the nodes of one region counted.
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

// rank orders scopes from wide to narrow.
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
