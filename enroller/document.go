package enroller

import (
	"fmt"

	"github.com/dragonflyford/dragonflyford/encoder"
)

// Keys of the table.
const (
	hostPrefix  = "host/"
	ownerPrefix = "owner/"
)

// hostDocument is the row of a host.
type hostDocument struct {
	Callers string `cbor:"1,keyasint"`
	Peers   string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Region  string `cbor:"4,keyasint"`
	Leaving bool   `cbor:"5,keyasint,omitempty"`
	Beat    uint64 `cbor:"6,keyasint,omitempty"` // makes each renewal another value
	ClockMS int64  `cbor:"7,keyasint,omitempty"` // steady clock of the store at the renewal, or 0
	Link    uint64 `cbor:"8,keyasint,omitempty"` // Mbit/s; 0 if it is not known
}

// ownerDocument is the row of an engine.
type ownerDocument struct {
	Host     string `cbor:"1,keyasint"`
	Takeover bool   `cbor:"2,keyasint,omitempty"` // another host owned the engine before
}

func encodeRow[T any](doc T) ([]byte, error) {
	data, err := encoder.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return data, nil
}
