package placer

import (
	"fmt"
)

// Policy is a rule for choosing an engine: Weighted, LeastLoaded, Random or
// AdapterHash.
type Policy interface {
	// String returns the name used in settings.
	String() string
	policy()
}

// Weighted chooses the engine with the lowest estimated cost in milliseconds, made
// up of load stall, queue, batch, distance and age of the view.
type Weighted struct{}

// LeastLoaded chooses the engine with the fewest jobs relative to its batch size.
type LeastLoaded struct{}

// Random chooses an engine uniformly at random.
type Random struct{}

// AdapterHash chooses an engine by rendezvous hashing of the adapter's name.
type AdapterHash struct{}

func (Weighted) policy()    {}
func (LeastLoaded) policy() {}
func (Random) policy()      {}
func (AdapterHash) policy() {}

func (Weighted) String() string    { return "ours" }
func (LeastLoaded) String() string { return "least_loaded" }
func (Random) String() string      { return "random" }
func (AdapterHash) String() string { return "adapter_hash" }

// Policies returns all policies, the default first.
func Policies() []Policy {
	return []Policy{Weighted{}, LeastLoaded{}, Random{}, AdapterHash{}}
}

// ParsePolicy returns the policy with the given name in settings.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("placement policy %q is not one of ours, least_loaded, random and adapter_hash", name)
}
