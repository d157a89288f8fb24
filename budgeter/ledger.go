package budgeter

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// permit allows one load and is taken from the shared row. Times are wall-clock
// milliseconds, because nodes compare them. Clock skew makes the budget tighter
// or looser, which affects the speed of loads but not correctness.
type permit struct {
	Node     string `cbor:"1,keyasint"`
	Number   uint64 `cbor:"2,keyasint"`
	Start    int64  `cbor:"3,keyasint"`
	Expiry   int64  `cbor:"4,keyasint"`
	Released bool   `cbor:"5,keyasint,omitempty"`
}

// ledger is the value of the row Key.
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

// poolLimits are the limits on the permits of all nodes together.
type poolLimits struct {
	rate     float64 // loads per second
	inFlight int
}

// rateWindow is the window over which the mean rate is enforced. It is long
// enough to express a rate such as 1.6 loads per second in whole permits.
const rateWindow = 5 * time.Second

// prune deletes permits that started before the rate window and are released or
// expired.
func (l *ledger) prune(now time.Time) {
	ms := now.UnixMilli()
	kept := l.Permits[:0]
	for _, p := range l.Permits {
		recent := p.Start > ms-rateWindow.Milliseconds()
		inFlight := !p.Released && p.Expiry > ms
		if recent || inFlight {
			kept = append(kept, p)
		}
	}
	l.Permits = kept
}

// waitTime returns how long to wait until one more load may start, according to
// the permits; zero means that it may start now.
func (l *ledger) waitTime(p poolLimits, now time.Time) time.Duration {
	ms := now.UnixMilli()
	second := newOccupancy(max(1, int(math.Ceil(p.rate))), time.Second.Milliseconds())
	window := newOccupancy(max(1, int(p.rate*rateWindow.Seconds())), rateWindow.Milliseconds())
	inFlight := newOccupancy(p.inFlight, 0)
	for _, entry := range l.Permits {
		second.add(entry.Start+second.span, ms)
		window.add(entry.Start+window.span, ms)
		if !entry.Released {
			inFlight.add(entry.Expiry, ms)
		}
	}
	until := max(second.freeAt(), window.freeAt(), inFlight.freeAt())
	return time.Duration(max(0, until-ms)) * time.Millisecond
}

// occupancy holds the expiry times of the permits that count against one limit.
type occupancy struct {
	capacity int
	span     int64   // ms that a permit counts after its start; 0 if it counts until its expiry
	expiries []int64 // Unix time in ms
}

func newOccupancy(capacity int, span int64) *occupancy {
	return &occupancy{capacity: capacity, span: span}
}

func (o *occupancy) add(expiry, now int64) {
	if expiry > now {
		o.expiries = append(o.expiries, expiry)
	}
}

// freeAt returns when the number of permits falls below the capacity, or 0 if
// it already is.
func (o *occupancy) freeAt() int64 {
	if len(o.expiries) < o.capacity {
		return 0
	}
	earliest := o.expiries[0]
	for _, e := range o.expiries {
		earliest = min(earliest, e)
	}
	return earliest
}

// release marks permits of a node as released and reports whether any changed.
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

func (l *ledger) contains(node string, number uint64) bool {
	for _, p := range l.Permits {
		if p.Node == node && p.Number == number {
			return true
		}
	}
	return false
}
