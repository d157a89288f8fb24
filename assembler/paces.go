package assembler

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxPaceServices bounds the services that have metrics of their own.
	maxPaceServices = 32
	// otherServices is the label of the services beyond maxPaceServices.
	otherServices = "other"
)

// paceMetrics show the adaptive limits and the paces of endpoints by service.
type paceMetrics struct {
	scope    tally.Scope
	services map[string]*servicePace
}

// servicePace holds the metrics of one service. The lowest limit, the slowest pace and the
// medians stand for all endpoints, which come and go.
type servicePace struct {
	lowestLimit, usualLimit tally.Gauge // calls that this host may have in flight at an endpoint
	slowestPace, usualPace  tally.Gauge // duration of work as a multiple of the usual one
}

func newPaceMetrics(scope tally.Scope) *paceMetrics {
	return &paceMetrics{scope: scope, services: make(map[string]*servicePace)}
}

// label returns the label of a service.
func (m *paceMetrics) label(service string) string {
	if m.services[service] != nil || len(m.services) < maxPaceServices {
		return service
	}
	return otherServices
}

func (m *paceMetrics) service(label string) *servicePace {
	if s := m.services[label]; s != nil {
		return s
	}
	gauge := func(name, which string) tally.Gauge {
		return m.scope.Tagged(map[string]string{"service": label, "endpoint": which}).Gauge(name)
	}
	s := &servicePace{
		lowestLimit: gauge("endpoint_limit", "lowest"), usualLimit: gauge("endpoint_limit", "median"),
		slowestPace: gauge("endpoint_pace", "slowest"), usualPace: gauge("endpoint_pace", "median"),
	}
	m.services[label] = s
	return s
}

// updatePaces updates the metrics of adaptive limits. Engines have no limit of that kind,
// but a pace.
func (h *Host) updatePaces() {
	limits, paces := make(map[string][]float64), make(map[string][]float64)
	now := time.Now()
	for _, e := range h.fleet.Current().All() {
		limit, ok := e.AdaptiveLimit(now)
		if !ok {
			return
		}
		label := h.paceMetrics.label(e.Service())
		h.paceMetrics.service(label)
		if h.engineSpec(e.Service()) != nil {
			paces[label] = append(paces[label], e.ReportedPace(now))
			continue
		}
		limits[label] = append(limits[label], limit)
		paces[label] = append(paces[label], e.Pace(now))
	}
	for label, list := range limits {
		slices.Sort(list)
		h.paceMetrics.service(label).lowestLimit.Update(list[0])
		h.paceMetrics.service(label).usualLimit.Update(list[len(list)/2])
	}
	for label, list := range paces {
		slices.Sort(list)
		h.paceMetrics.service(label).slowestPace.Update(list[len(list)-1])
		h.paceMetrics.service(label).usualPace.Update(list[len(list)/2])
	}
}
