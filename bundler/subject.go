package bundler

import (
	"reflect"
	"slices"
)

// Subject selects the part of a bundle that a request depends on: an
// AdapterSubject or a ServiceSubject.
type Subject interface{ subject() }

// AdapterSubject selects one adapter.
type AdapterSubject struct{ name string }

// NewAdapterSubject returns the subject of requests to the named adapter.
func NewAdapterSubject(name string) AdapterSubject { return AdapterSubject{name: name} }

// ServiceSubject selects one plain service.
type ServiceSubject struct{ name string }

// NewServiceSubject returns the subject of calls of the named service.
func NewServiceSubject(name string) ServiceSubject { return ServiceSubject{name: name} }

func (AdapterSubject) subject() {}
func (ServiceSubject) subject() {}

// Differs reports whether a subject is different in two bundles.
func Differs(a, b *Snapshot, s Subject) bool {
	switch s := s.(type) {
	case AdapterSubject:
		before, _ := a.Adapter(s.name)
		after, _ := b.Adapter(s.name)
		return adapterDiffers(before, after)
	case ServiceSubject:
		return serviceDiffers(a.services[s.name], b.services[s.name])
	default:
		return true
	}
}

func adapterDiffers(a, b *Adapter) bool {
	if a == nil || b == nil {
		return a != b
	}
	return a.base != b.base ||
		!slices.Equal(a.versions, b.versions) ||
		!slices.Equal(a.regions, b.regions) ||
		!slices.Equal(a.shares, b.shares)
}

func serviceDiffers(a, b *Service) bool {
	if a == nil || b == nil {
		return a != b
	}
	return !reflect.DeepEqual(a.calls, b.calls) || !reflect.DeepEqual(a.endpoints, b.endpoints)
}
