package emulator

// set is the fakes that one control interface governs.
type set struct {
	table     *Table
	objects   *Objects
	hosts     *HostList
	weights   *WeightStore
	endpoints []*Endpoint
}

// Table returns the table service.
func (s *set) Table() *Table { return s.table }

// Objects returns the object store.
func (s *set) Objects() *Objects { return s.objects }

// Hosts returns the host list.
func (s *set) Hosts() *HostList { return s.hosts }

// Weights returns the weight store.
func (s *set) Weights() *WeightStore { return s.weights }

// Endpoints returns all engines, then all services; the slice must not be
// changed.
func (s *set) Endpoints() []*Endpoint { return s.endpoints }

// Endpoint returns an endpoint by name, or nil.
func (s *set) Endpoint(name string) *Endpoint {
	for _, e := range s.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

// Executions returns how often each operation ran on any of the services.
func (s *set) Executions() map[string]int {
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

func (s *set) targets() []string {
	names := []string{targetTable, targetObjects, targetHosts, targetWeights}
	for _, e := range s.endpoints {
		names = append(names, e.name)
	}
	return names
}

func (s *set) faulty(name string) (FaultInjector, bool) {
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

// closeEngines ends all engines.
func (s *set) closeEngines() {
	for _, e := range s.endpoints {
		if e.engine != nil {
			e.engine.Close()
		}
	}
}
