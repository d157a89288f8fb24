package breaker

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/receiver"
)

const prefix = "crash/"

// Key returns the row of a fingerprint's mark.
func Key(f receiver.Fingerprint) string { return prefix + hex.EncodeToString(f[:]) }

// ErrMalformed reports a stored mark that cannot be read.
var ErrMalformed = eris.New("malformed crash mark")

// Mark says that a request was running on an engine when it crashed.
type Mark struct {
	fingerprint receiver.Fingerprint
	crash       uint64
	stopped     bool
}

// NewMark returns the mark of a crash. Stopped marks a second crash, which
// identifies the request.
func NewMark(f receiver.Fingerprint, crash uint64, stopped bool) Mark {
	return Mark{fingerprint: f, crash: crash, stopped: stopped}
}

// Fingerprint returns which requests the mark concerns.
func (m Mark) Fingerprint() receiver.Fingerprint { return m.fingerprint }

// Crash returns the id of the latest crash.
func (m Mark) Crash() uint64 { return m.crash }

// Stopped reports whether the request must not run any more.
func (m Mark) Stopped() bool { return m.stopped }

// CrashID returns the id of the crash of one process of an engine.
func CrashID(engine, instance string) uint64 { return xxhash.Sum64String(engine + "\x00" + instance) }

type markMessage struct {
	Crash   uint64 `cbor:"1,keyasint"`
	Stopped bool   `cbor:"2,keyasint,omitempty"`
}

const maxRow = 64 // bytes; a mark takes 14

func (m Mark) encode() ([]byte, error) {
	b, err := cbor.Marshal(markMessage{Crash: m.crash, Stopped: m.stopped})
	if err != nil {
		return nil, fmt.Errorf("encode crash mark: %w", err)
	}
	return b, nil
}

// DecodeMark reads a row of a mark.
func DecodeMark(key string, value []byte) (Mark, error) {
	var m Mark
	digits, ok := strings.CutPrefix(key, prefix)
	if !ok || len(digits) != hex.EncodedLen(len(m.fingerprint)) || len(value) > maxRow {
		return Mark{}, fmt.Errorf("row %q: %w", key, ErrMalformed)
	}
	if _, err := hex.Decode(m.fingerprint[:], []byte(digits)); err != nil {
		return Mark{}, fmt.Errorf("row %q: %w: %w", key, ErrMalformed, err)
	}
	var msg markMessage
	if err := cbor.Unmarshal(value, &msg); err != nil {
		return Mark{}, fmt.Errorf("row %q: %w: %w", key, ErrMalformed, err)
	}
	m.crash, m.stopped = msg.Crash, msg.Stopped
	return m, nil
}
