package emulator

// fakeSet holds the fakes that share one control interface.
type fakeSet struct {
	table     *Table
	objects   *Objects
	hosts     *HostList
	weights   *WeightStore
	endpoints []*Endpoint
}

// Table returns the table service.
func (s *fakeSet) Table() *Table { return s.table }

// Objects returns the object store.
func (s *fakeSet) Objects() *Objects { return s.objects }

// Hosts returns the host list.
func (s *fakeSet) Hosts() *HostList { return s.hosts }

// Weights returns the weight store.
func (s *fakeSet) Weights() *WeightStore { return s.weights }

// Endpoints returns all engines, then all services; the slice must not be
// changed.
func (s *fakeSet) Endpoints() []*Endpoint { return s.endpoints }

// Endpoint returns an endpoint by name, or nil.
func (s *fakeSet) Endpoint(name string) *Endpoint {
	for _, e := range s.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

// Executions returns how often each operation ran, summed over all services.
func (s *fakeSet) Executions() map[string]int {
	total := make(map[string]int)
	for _, e := range s.endpoints {
		if e.service == nil {
			continue
		}
		for id, n := range e.service.Executions() {
			total[id] += n
		}
	}
	return total
}

func (s *fakeSet) targets() []string {
	names := []string{targetTable, targetObjects, targetHosts, targetWeights}
	for _, e := range s.endpoints {
		names = append(names, e.name)
	}
	return names
}

func (s *fakeSet) faultInjector(name string) (FaultInjector, bool) {
	switch name {
	case targetTable:
		return s.table, true
	case targetObjects:
		return s.objects, true
	case targetHosts:
		return s.hosts, true
	case targetWeights:
		return s.weights, true
	}
	e := s.Endpoint(name)
	switch {
	case e == nil:
		return nil, false
	case e.engine != nil:
		return e.engine, true
	default:
		return e.service, true
	}
}

// closeEngines closes all engines.
func (s *fakeSet) closeEngines() {
	for _, e := range s.endpoints {
		if e.engine != nil {
			e.engine.Close()
		}
	}
}
