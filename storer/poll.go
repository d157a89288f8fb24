package storer

import (
	"context"
	"time"
)

// Poll is a request for the changes of a table after a version.
type Poll struct {
	after   Version
	wait    time.Duration
	silence time.Duration
	onByte  func()
}

// NewPoll returns a poll that the store may hold for wait while nothing changes, and that is
// given up when no byte of the answer has arrived for silence after that.
func NewPoll(after Version, wait, silence time.Duration) Poll {
	return Poll{after: after, wait: wait, silence: silence, onByte: func() {}}
}

// OnFirstByte returns the poll with a function that is called when its answer begins.
func (p Poll) OnFirstByte(f func()) Poll {
	p.onByte = f
	return p
}

// After returns the version after which the changes are wanted.
func (p Poll) After() Version { return p.after }

// Wait returns how long the store may hold the poll while nothing changes.
func (p Poll) Wait() time.Duration { return p.wait }

// Silence returns the longest time without a byte of the answer, not counting Wait.
func (p Poll) Silence() time.Duration { return p.silence }

// Began reports that the answer has begun.
func (p Poll) Began() { p.onByte() }

// PollFeed is a feed whose polls are bounded by the time without a byte of the answer, not by
// the time of the whole transfer.
type PollFeed interface {
	Feed
	// Poll returns the changes after a version like Follow.
	Poll(ctx context.Context, p Poll) (Changes, error)
	// Reconnect makes later calls use connections that are opened after it.
	Reconnect()
}
