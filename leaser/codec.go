package leaser

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/encoder"
)

// Size limits of stored rows in bytes. A lease row takes about 150 bytes and the
// assignment of 400 engines about 40 KB.
const (
	maxNodeRow       = 4 << 10
	maxAssignmentRow = 1 << 20
)

// ErrMalformed is returned for a stored row that cannot be decoded.
var ErrMalformed = eris.New("malformed row")

type nodeMessage struct {
	Instance   string `cbor:"1,keyasint"`
	Term       uint64 `cbor:"2,keyasint"`
	Sequence   uint64 `cbor:"3,keyasint"`
	Caller     string `cbor:"4,keyasint,omitempty"`
	Peer       string `cbor:"5,keyasint,omitempty"`
	Region     string `cbor:"6,keyasint,omitempty"`
	DataCentre string `cbor:"7,keyasint,omitempty"`
	Leaving    bool   `cbor:"8,keyasint,omitempty"`
	InForce    uint64 `cbor:"9,keyasint,omitempty"`
	Prepared   uint64 `cbor:"10,keyasint,omitempty"`
	Ended      bool   `cbor:"11,keyasint,omitempty"`
	Assignment uint64 `cbor:"12,keyasint,omitempty"` // highest version of the assignment row that the node has read
	Closed     uint64 `cbor:"13,keyasint,omitempty"` // highest earlier term that was ended in the row
}

type holderMessage struct {
	Name     string `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Term     uint64 `cbor:"3,keyasint"`
}

func holderOf(m holderMessage) Holder {
	return Holder{name: m.Name, instance: m.Instance, term: m.Term}
}

func (h Holder) message() holderMessage {
	return holderMessage{Name: h.name, Instance: h.instance, Term: h.term}
}

type entryMessage struct {
	Engine   string        `cbor:"1,keyasint"`
	Owner    holderMessage `cbor:"2,keyasint"`
	Token    uint64        `cbor:"3,keyasint"`
	Previous holderMessage `cbor:"4,keyasint"`
}

type assignmentMessage struct {
	Epoch   uint64          `cbor:"1,keyasint"`
	Last    uint64          `cbor:"2,keyasint"`
	Members []holderMessage `cbor:"3,keyasint,omitempty"`
	Entries []entryMessage  `cbor:"4,keyasint,omitempty"`
}

func encodeRow[T any](v T, limit int) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	if len(b) > limit {
		return nil, fmt.Errorf("encode row: %d bytes exceed the limit of %d", len(b), limit)
	}
	return b, nil
}

func decodeRow[T any](b []byte, limit int) (T, error) {
	var zero T
	if len(b) > limit {
		return zero, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrMalformed, len(b), limit)
	}
	v, err := encoder.Unmarshal[T](b)
	if err != nil {
		return zero, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return v, nil
}

// DecodeAssignment decodes the stored form of an assignment.
func DecodeAssignment(b []byte) (*Assignment, error) {
	msg, err := decodeRow[assignmentMessage](b, maxAssignmentRow)
	if err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	a := &Assignment{epoch: msg.Epoch, last: msg.Last}
	for _, m := range msg.Members {
		a.members = append(a.members, holderOf(m))
	}
	for _, e := range msg.Entries {
		a.entries = append(a.entries, Entry{engine: e.Engine, owner: holderOf(e.Owner), token: e.Token, previous: holderOf(e.Previous)})
	}
	if err := a.check(); err != nil {
		return nil, fmt.Errorf("decode assignment: %w", err)
	}
	return a, nil
}

// Encode returns the stored form of an assignment.
func (a *Assignment) Encode() ([]byte, error) {
	msg := assignmentMessage{Epoch: a.epoch, Last: a.last}
	for _, m := range a.members {
		msg.Members = append(msg.Members, m.message())
	}
	for _, e := range a.entries {
		msg.Entries = append(msg.Entries, entryMessage{Engine: e.engine, Owner: e.owner.message(), Token: e.token, Previous: e.previous.message()})
	}
	return encodeRow(msg, maxAssignmentRow)
}
