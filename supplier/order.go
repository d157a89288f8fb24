package supplier

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

const (
	orderTimeout     = 400 * time.Millisecond // two round trips between regions and some queueing
	maxOrderAttempts = 3
)

// orderFunc returns an order with a fencing token.
type orderFunc func(f connector.Fence) connector.Order

func unloadOrder(m connector.Model) orderFunc {
	return func(f connector.Fence) connector.Order { return connector.NewUnloadAdapter(f, m) }
}

func loadOrder(m connector.Model, version int64) orderFunc {
	if version > 0 {
		m = connector.NewModel(m.Base(), m.Adapter(), strconv.FormatInt(version, 10))
	}
	return func(f connector.Fence) connector.Order { return connector.NewLoadAdapter(f, m) }
}

// order sends an order and returns its result, or nil if the result is unknown. An
// order without an answer is sent again with the same expected sequence, so that
// at most one of the two can take effect.
func (w *engineWorker) order(ctx context.Context, newOrder orderFunc) OrderResult {
	for attempt := range maxOrderAttempts {
		token, remaining, ok := w.supplier.leases.Lease(w.endpoint.ID())
		if !ok {
			return Rejected{}
		}
		limited, cancel := context.WithTimeout(ctx, min(orderTimeout, remaining))
		o := newOrder(connector.NewFence(token, time.Now().Add(remaining)))
		began := time.Now()
		result, err := w.supplier.engines.Order(limited, w.endpoint, o, w.state.sequence)
		cancel()
		w.logOrder(o, result, err, token, attempt, time.Since(began))
		switch v := result.(type) {
		case Accepted:
			w.state.sequence++
			w.state.lastOrder = time.Now()
			clear(w.state.uncertain)
			return v
		case InForce:
			if _, unload := o.(connector.UnloadAdapter); unload {
				w.state.sequence++
				w.state.lastOrder = time.Now()
			}
			return v
		case Conflict:
			// The sequence differs: either an order without an answer took effect, or
			// the recorded sequence is out of date.
			if sleeper.Sleep(ctx, reportLag) != nil || !w.readReport(ctx) {
				return nil
			}
			if w.satisfied(o) {
				return InForce{}
			}
			return v
		case Rejected:
			return v
		}
		if err != nil && ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// satisfied reports whether the state shows the effect of an order.
func (w *engineWorker) satisfied(o connector.Order) bool {
	switch o := o.(type) {
	case connector.LoadAdapter:
		m := connector.NewModel(o.Model().Base(), o.Model().Adapter(), "")
		resident, ok := w.state.resident[m]
		wanted, err := strconv.ParseInt(o.Model().Version(), 10, 64)
		return ok && (err != nil || resident >= wanted) // an order without a version accepts any
	case connector.UnloadAdapter:
		_, ok := w.state.resident[o.Model()]
		return !ok
	case connector.LoadModel:
		return w.baseLoaded(o.Base())
	default:
		return false
	}
}

func (w *engineWorker) logOrder(o connector.Order, v OrderResult, err error, token uint64, attempt int, took time.Duration) {
	fields := []logger.Field{
		logger.With(logger.KeyToken, token), logger.With(logger.KeySequence, w.state.sequence),
		logger.With(logger.KeyAttempt, attempt), logger.With(logger.KeyDuration, took.Milliseconds()),
		logger.With(logger.KeyHeld, w.state.occupiedSlots()),
	}
	if err != nil {
		fields = append(fields, logger.Err(err))
	}
	event, model := orderEvent(o)
	fields = append(fields, logger.With(logger.KeyModel, model), logger.With(logger.KeyOutcome, outcome(v, err)))
	w.log(event, fields...)
}

func orderEvent(o connector.Order) (event, model string) {
	switch o := o.(type) {
	case connector.LoadAdapter:
		return "adapter-load-ordered", o.Model().Base() + "/" + o.Model().String()
	case connector.UnloadAdapter:
		return "adapter-unload-ordered", o.Model().Base() + "/" + o.Model().Adapter()
	case connector.LoadModel:
		return "base-load-ordered", o.Base()
	default:
		return "order-sent", ""
	}
}

func outcome(v OrderResult, err error) string {
	switch v := v.(type) {
	case Accepted:
		return "accepted"
	case InForce:
		return "in-force"
	case Conflict:
		return "conflict"
	case Rejected:
		return "rejected-" + strconv.Itoa(v.status)
	default:
		if errors.Is(err, ErrNotSent) {
			return "not-sent"
		}
		return "no-answer"
	}
}
