package elector

import "time"

// Shares of the time within which a change has to be in force at all hosts. The longest way
// of a change is a check and its reply at the checking host, a heartbeat (0.6 s later if one is
// lost), the grace and one more read; or the time until others take over and one read.
const (
	checkShare    = 0.32
	replyShare    = 0.16
	takeoverShare = 0.7
	graceShare    = 0.1
	maxReplyShare = 0.6
)

// Timing holds the times that the hosts of a data centre agree on.
type Timing struct{ inForce time.Duration }

// NewTiming returns the timing for changes that have to be in force within inForce of the
// store's acknowledgement.
func NewTiming(inForce time.Duration) Timing { return Timing{inForce: inForce} }

func (t Timing) share(s float64) time.Duration { return time.Duration(s * float64(t.inForce)) }

// Check returns how long the store may hold a poll of the host that checks the table.
func (t Timing) Check() time.Duration { return t.share(checkShare) }

// Reply returns the longest time without a byte of an answer, and MaxReply that after
// several answers in a row were missing, because the store may be slow.
func (t Timing) Reply() time.Duration { return t.share(replyShare) }

// MaxReply returns the upper limit of the time without a byte of an answer.
func (t Timing) MaxReply() time.Duration { return t.share(maxReplyShare) }

// Takeover returns the time without a check after which other hosts check the table.
func (t Timing) Takeover() time.Duration { return t.share(takeoverShare) }

// Grace returns how long a host waits for its own poll after another one has announced a
// change, as the same change ends both polls.
func (t Timing) Grace() time.Duration { return t.share(graceShare) }
