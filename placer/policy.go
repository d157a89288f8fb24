package placer

import (
	"fmt"
)

// Policy is how an engine is chosen: Weighted, LeastLoaded, Random or
// AdapterHash.
type Policy interface {
	// String returns the name used in settings.
	String() string
	policy()
}

// Weighted estimates the cost of each engine in milliseconds: load stall, queue,
// batch, distance and age of the view.
type Weighted struct{}

// LeastLoaded takes the engine with the fewest jobs for its batch.
type LeastLoaded struct{}

// Random takes any engine.
type Random struct{}

// AdapterHash takes the engine that the adapter's name hashes to.
type AdapterHash struct{}

func (Weighted) policy()    {}
func (LeastLoaded) policy() {}
func (Random) policy()      {}
func (AdapterHash) policy() {}

func (Weighted) String() string    { return "ours" }
func (LeastLoaded) String() string { return "least_loaded" }
func (Random) String() string      { return "random" }
func (AdapterHash) String() string { return "adapter_hash" }

// Policies returns every policy, ours first.
func Policies() []Policy {
	return []Policy{Weighted{}, LeastLoaded{}, Random{}, AdapterHash{}}
}

// ParsePolicy returns the policy that settings name.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("placement policy %q is not one of ours, least_loaded, random and adapter_hash", name)
}
