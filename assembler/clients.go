package assembler

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/collector"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// Values of the metric label for why a body was refused. Those of connections are the
// causes of acceptor.
const (
	causeBodyBytes  = "body-bytes"
	causeBodyMemory = "body-memory"
	causeBodyTime   = "body-timeout"
)

// clientMetrics are the metrics of what clients take.
type clientMetrics struct {
	refusals    *meter.Counters
	bodyBytes   tally.Gauge
	headerBytes tally.Gauge
	connections tally.Gauge
	peers       tally.Gauge
}

func newClientMetrics(scope tally.Scope) *clientMetrics {
	return &clientMetrics{
		refusals: meter.NewCounters(scope, "client_refusals", "cause", causeBodyBytes, causeBodyMemory, causeBodyTime,
			string(acceptor.CauseConnections), string(acceptor.CausePeerConnections), string(acceptor.CauseEvicted), string(acceptor.CauseIdle),
			string(acceptor.CauseHeaderBytes), string(acceptor.CauseHeaderMemory), string(acceptor.CauseHeaderTime)),
		bodyBytes:   scope.Gauge("body_bytes_held"),
		headerBytes: scope.Gauge("header_bytes_held"),
		connections: scope.Gauge("caller_connections"),
		peers:       scope.Gauge("peer_connections"),
	}
}

// recordBody counts a body that was refused.
func (m *clientMetrics) recordBody(err error) {
	switch {
	case errors.Is(err, collector.ErrTooLong):
		m.refusals.Inc(causeBodyBytes)
	case errors.Is(err, collector.ErrNoMemory):
		m.refusals.Inc(causeBodyMemory)
	case errors.Is(err, collector.ErrTimeout):
		m.refusals.Inc(causeBodyTime)
	}
}

// recordConnection counts a connection that was refused or closed, and logs it unless it was
// only idle, as most are in the end.
func (h *Host) recordConnection(cause acceptor.Cause) {
	h.clientMetrics.refusals.Inc(string(cause))
	if cause == acceptor.CauseIdle {
		return
	}
	h.log.Info("connection-refused", logger.With(logger.KeyReason, string(cause)))
}

// clientMetricsInterval is the time between two updates of the gauges.
const clientMetricsInterval = time.Second

func (h *Host) recordClients(ctx context.Context) {
	for sleeper.Sleep(ctx, clientMetricsInterval) == nil {
		h.clientMetrics.bodyBytes.Update(float64(h.capacity.bodies.Held()))
		h.clientMetrics.headerBytes.Update(float64(h.capacity.headers.Held()))
		if a := h.callers.Load(); a != nil {
			h.clientMetrics.connections.Update(float64(a.Open()))
		}
		if l := h.peerListener.Load(); l != nil {
			h.clientMetrics.peers.Update(float64(l.Open()))
		}
	}
}

// releaseStalled frees the memory of a stalled body after one was refused.
func (h *Host) releaseStalled() {
	if a := h.callers.Load(); a != nil {
		a.ReleaseStalled()
	}
}
