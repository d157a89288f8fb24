package budgeter

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// permit is one load from the pool. Times are wall-clock milliseconds, because
// nodes compare them; skew makes the budget tighter or looser, which slows loads
// but breaks no promise.
type permit struct {
	Node     string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
	Start    int64  `cbor:"3,keyasint"`
	Expiry   int64  `cbor:"4,keyasint"`
	Released bool   `cbor:"5,keyasint,omitempty"`
}

// ledger is the value of the row.
type ledger struct {
	Permits []permit `cbor:"1,keyasint"`
}

func decode(value []byte) (*ledger, error) {
	l := &ledger{}
	if err := cbor.Unmarshal(value, l); err != nil {
		return nil, fmt.Errorf("decode permits: %w", err)
	}
	return l, nil
}

func (l *ledger) encode() ([]byte, error) {
	value, err := cbor.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode permits: %w", err)
	}
	return value, nil
}

// pool bounds the permits of all nodes together.
type pool struct {
	rate     float64 // loads per second
	inFlight int
}

// rateWindow is where the mean rate is enforced. It is long enough to express a
// rate such as 1.6 loads per second in whole permits.
const rateWindow = 5 * time.Second

// purge forgets permits that no longer count.
func (l *ledger) purge(now time.Time) {
	ms := now.UnixMilli()
	kept := l.Permits[:0]
	for _, p := range l.Permits {
		recent := p.Start > ms-rateWindow.Milliseconds()
		flying := !p.Released && p.Expiry > ms
		if recent || flying {
			kept = append(kept, p)
		}
	}
	l.Permits = kept
}

// room returns zero if one more load may start now, and otherwise when it may,
// as far as the permits tell.
func (l *ledger) room(p pool, now time.Time) time.Duration {
	ms := now.UnixMilli()
	second := newLimit(max(1, int(math.Ceil(p.rate))), time.Second.Milliseconds())
	window := newLimit(max(1, int(p.rate*rateWindow.Seconds())), rateWindow.Milliseconds())
	flying := newLimit(p.inFlight, 0)
	for _, one := range l.Permits {
		second.add(one.Start+second.span, ms)
		window.add(one.Start+window.span, ms)
		if !one.Released {
			flying.add(one.Expiry, ms)
		}
	}
	until := max(second.until(), window.until(), flying.until())
	return time.Duration(max(0, until-ms)) * time.Millisecond
}

// limit counts what holds a place until a time.
type limit struct {
	places int
	span   int64
	ends   []int64
}

func newLimit(places int, span int64) *limit { return &limit{places: places, span: span} }

func (l *limit) add(end, now int64) {
	if end > now {
		l.ends = append(l.ends, end)
	}
}

// until returns when a place is free.
func (l *limit) until() int64 {
	if len(l.ends) < l.places {
		return 0
	}
	first := l.ends[0]
	for _, e := range l.ends {
		first = min(first, e)
	}
	return first
}

func (l *ledger) release(node string, numbers map[uint64]struct{}) bool {
	changed := false
	for i := range l.Permits {
		p := &l.Permits[i]
		if _, ok := numbers[p.Number]; ok && p.Node == node && !p.Released {
			p.Released = true
			changed = true
		}
	}
	return changed
}

func (l *ledger) has(node string, number uint64) bool {
	for _, p := range l.Permits {
		if p.Node == node && p.Number == number {
			return true
		}
	}
	return false
}
