package screener

import (
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

// Fingerprint is a hash of the content of a call. Repeats of a call have the
// same one, regardless of the sender.
type Fingerprint uint64

// Evidence is what hosts tell each other of calls that crash endpoints: a Mark or a
// Begun.
type Evidence interface{ evidence() }

// Mark records that an endpoint process crashed before the output of a call began.
type Mark struct {
	call     Fingerprint
	endpoint string
	prompt   []router.PromptPart
	at       time.Time
}

// NewMark returns the mark of an endpoint process that crashed under a call now. Prompt
// holds the parts of the prompt that the call shares with others.
func NewMark(call Fingerprint, endpoint string, prompt ...router.PromptPart) Mark {
	return Mark{call: call, endpoint: endpoint, prompt: prompt, at: time.Now()}
}

// Aged returns the mark of a crash that long ago.
func (m Mark) Aged(d time.Duration) Mark {
	m.at = m.at.Add(-d)
	return m
}

// WithoutPrompt returns the mark without the parts of the prompt.
func (m Mark) WithoutPrompt() Mark {
	m.prompt = nil
	return m
}

// Age returns the time since the crash.
func (m Mark) Age() time.Duration { return time.Since(m.at) }

// Call returns the fingerprint of the call.
func (m Mark) Call() Fingerprint { return m.call }

// Endpoint returns the id of the endpoint process.
func (m Mark) Endpoint() string { return m.endpoint }

// Prompt returns the parts of the prompt that the call shares with others.
func (m Mark) Prompt() []router.PromptPart { return m.prompt }

// Begun records that the output of a call with a part began, of which crashes had made
// other hosts suspicious.
type Begun struct{ part router.PromptPart }

// NewBegun returns the record that the output of a call with a part began.
func NewBegun(part router.PromptPart) Begun { return Begun{part: part} }

// Part returns the part.
func (b Begun) Part() router.PromptPart { return b.part }

func (Mark) evidence()  {}
func (Begun) evidence() {}
