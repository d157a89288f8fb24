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
	orderTimeout  = 400 * time.Millisecond // two trips between regions and some queueing
	maxOrderTries = 3
)

// making builds an order for a fencing token.
type making func(f connector.Fence) connector.Order

func unloading(m connector.Model) making {
	return func(f connector.Fence) connector.Order { return connector.NewUnloadAdapter(f, m) }
}

func loading(m connector.Model, version int64) making {
	if version > 0 {
		m = connector.NewModel(m.Base(), m.Adapter(), strconv.FormatInt(version, 10))
	}
	return func(f connector.Fence) connector.Order { return connector.NewLoadAdapter(f, m) }
}

// order sends an order and returns its verdict, or nil if it is not known. An
// order without an answer is sent again with the same expected sequence: at most
// one of the two can take effect.
func (k *keeper) order(ctx context.Context, make making) OrderResult {
	for try := range maxOrderTries {
		token, left, ok := k.supplier.rights.Lease(k.endpoint.ID())
		if !ok {
			return Rejected{}
		}
		limited, cancel := context.WithTimeout(ctx, min(orderTimeout, left))
		o := make(connector.NewFence(token, time.Now().Add(left)))
		began := time.Now()
		verdict, err := k.supplier.engines.Order(limited, k.endpoint, o, k.stock.sequence)
		cancel()
		k.note(o, verdict, err, token, try, time.Since(began))
		switch v := verdict.(type) {
		case Accepted:
			k.stock.sequence++
			k.stock.ordered = time.Now()
			clear(k.stock.doubtful)
			return v
		case InForce:
			if _, unload := o.(connector.UnloadAdapter); unload {
				k.stock.sequence++
				k.stock.ordered = time.Now()
			}
			return v
		case Conflict:
			// The sequence differs: an order without an answer took effect, or the
			// known one is old.
			if sleeper.Sleep(ctx, reportLag) != nil || !k.read(ctx) {
				return nil
			}
			if k.fulfilled(o) {
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

// fulfilled reports whether the stock is as an order wants it.
func (k *keeper) fulfilled(o connector.Order) bool {
	switch o := o.(type) {
	case connector.LoadAdapter:
		m := connector.NewModel(o.Model().Base(), o.Model().Adapter(), "")
		held, ok := k.stock.held[m]
		wanted, err := strconv.ParseInt(o.Model().Version(), 10, 64)
		return ok && (err != nil || held >= wanted) // no version: any will do
	case connector.UnloadAdapter:
		_, ok := k.stock.held[o.Model()]
		return !ok
	case connector.LoadModel:
		return k.stockedBase(o.Base())
	default:
		return false
	}
}

func (k *keeper) note(o connector.Order, v OrderResult, err error, token uint64, try int, took time.Duration) {
	fields := []logger.Field{
		logger.With(logger.KeyToken, token), logger.With(logger.KeySequence, k.stock.sequence),
		logger.With(logger.KeyAttempt, try), logger.With(logger.KeyDuration, took.Milliseconds()),
		logger.With(logger.KeyHeld, k.stock.places()),
	}
	if err != nil {
		fields = append(fields, logger.Err(err))
	}
	event, model := describe(o)
	fields = append(fields, logger.With(logger.KeyModel, model), logger.With(logger.KeyOutcome, outcome(v, err)))
	k.log(event, fields...)
}

func describe(o connector.Order) (event, model string) {
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
