package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// state is the stored state of a claim.
type state string

const (
	stateClaimed state = "claimed"
	stateSent    state = "sent"
	stateDone    state = "done"
	stateNotRun  state = "not-run"
)

// record is the stored form of a claim.
type record struct {
	State       state  `cbor:"1,keyasint"`
	Attempt     string `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	BodyHash    []byte `cbor:"4,keyasint"`
	Status      int    `cbor:"5,keyasint,omitempty"`
	ContentType string `cbor:"6,keyasint,omitempty"`
	Body        []byte `cbor:"7,keyasint,omitempty"`
	// Hold is how long the attempt may stay in claimed, in nanoseconds.
	Hold int64 `cbor:"8,keyasint,omitempty"`
	// Finished is the Unix time at which the claim reached done or not-run. It is
	// only used for the retention, which tolerates clock skew between nodes.
	Finished int64 `cbor:"9,keyasint,omitempty"`
	// Dropped is set if the answer was too large to be stored.
	Dropped bool `cbor:"10,keyasint,omitempty"`
}

func (r record) finished() bool { return r.State == stateDone || r.State == stateNotRun }

func (r record) hold() time.Duration { return time.Duration(r.Hold) }

func (r record) matches(f receiver.Fingerprint) bool { return string(r.BodyHash) == string(f[:]) }

// withState returns the record in state s. A final state also gets its time.
func (r record) withState(s state) record {
	r.State = s
	if r.finished() {
		r.Finished = time.Now().Unix()
	}
	return r
}

// withAnswer returns the record in state done with the answer, or without it if it
// is larger than limit bytes.
func (r record) withAnswer(reply connector.Reply, limit int) record {
	r = r.withState(stateDone)
	r.Status = reply.Status()
	r.ContentType = reply.ContentType()
	r.Body = reply.Body()
	if len(r.Body)+len(r.ContentType) > limit {
		r.Body, r.ContentType, r.Dropped = nil, "", true
	}
	return r
}

func decodeRecord(value []byte) (record, error) { return encoder.Unmarshal[record](value) }

const keyPrefix = "claim/"

// Key returns the row key of the claim for a caller's idempotency key. Caller and
// key are hashed, because both may contain arbitrary bytes.
func Key(caller, service, key string) string {
	hashed := func(s string) string {
		sum := sha256.Sum256([]byte(s))
		return hex.EncodeToString(sum[:12])
	}
	return keyPrefix + strings.Join([]string{hashed(caller), service, hashed(key)}, "/")
}

func encodeRecord(r record) ([]byte, error) { return encoder.Marshal(r) }
