package breaker

import (
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// mark is one crash of one request, as exchanged between nodes. It carries an age
// instead of a time, because the clocks of hosts differ.
type mark struct {
	fingerprint receiver.Fingerprint
	id          string // "" while the crash is not confirmed
	engine      string
	age         time.Duration
}

// markMessage is the encoded form of a mark.
type markMessage struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint,omitempty"`
	Engine      string `cbor:"3,keyasint"`
	AgeMS       int64  `cbor:"4,keyasint"`
}

type markList struct {
	Marks []markMessage `cbor:"1,keyasint"`
}

func encodeMarks(list []mark) ([]byte, error) {
	var l markList
	for _, m := range list {
		l.Marks = append(l.Marks, markMessage{
			Fingerprint: m.fingerprint[:],
			ID:          m.id,
			Engine:      m.engine,
			AgeMS:       m.age.Milliseconds(),
		})
	}
	b, err := encoder.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode crash marks: %w", err)
	}
	return b, nil
}

func decodeMarks(b []byte) ([]mark, error) {
	l, err := encoder.Unmarshal[markList](b)
	if err != nil {
		return nil, fmt.Errorf("decode crash marks: %w", err)
	}
	list := make([]mark, 0, len(l.Marks))
	for _, msg := range l.Marks {
		m := mark{id: msg.ID, engine: msg.Engine, age: time.Duration(msg.AgeMS) * time.Millisecond}
		if len(msg.Fingerprint) != len(m.fingerprint) || msg.AgeMS < 0 {
			return nil, fmt.Errorf("crash mark %q of engine %q is malformed", msg.ID, msg.Engine)
		}
		copy(m.fingerprint[:], msg.Fingerprint)
		list = append(list, m)
	}
	return list, nil
}
