package poller

import (
	"context"
	"fmt"
	"sync/atomic"
)

// arrival is the answer to a poll.
type arrival struct {
	first atomic.Bool   // the first byte has arrived
	done  chan struct{} // closed when the next call begins, by which its rows are applied
}

func newArrival() *arrival { return &arrival{done: make(chan struct{})} }

func (a *arrival) begin() { a.first.Store(true) }

func (a *arrival) begun() bool { return a.first.Load() }

// endArrival ends the answer to the poll before, and replaces it by that to the next one.
func (p *Poller) endArrival(next *arrival) {
	if last := p.arrival.Swap(next); last != nil {
		close(last.done)
	}
}

// AwaitArrival returns once no answer is arriving and the rows of the last one are applied.
// Over a narrow link, another read beside that of a large configuration would delay both. It
// calls onWait if it has to wait.
func (p *Poller) AwaitArrival(ctx context.Context, onWait func()) error {
	answer := p.arrival.Load()
	if answer == nil || !answer.begun() {
		return nil
	}
	onWait()
	select {
	case <-answer.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the answer to a poll: %w", ctx.Err())
	}
}
