package enroller

import (
	"fmt"

	"github.com/dragonflyford/dragonflyford/encoder"
)

// HostPrefix is the prefix of the keys of the hosts' rows.
const HostPrefix = "host/"

// ownerPrefix is the prefix of the keys of the rows of engines' owners.
const ownerPrefix = "owner/"

// hostDocument is the value of a host row.
type hostDocument struct {
	Callers    string `cbor:"1,keyasint"`
	Peers      string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Region     string `cbor:"4,keyasint"`
	Leaving    bool   `cbor:"5,keyasint,omitempty"`
	Sequence   uint64 `cbor:"6,keyasint,omitempty"`  // incremented on every renewal, so that the value changes
	ClockMS    int64  `cbor:"7,keyasint,omitempty"`  // store's steady clock at the renewal; 0 if unknown
	Link       uint64 `cbor:"8,keyasint,omitempty"`  // Mbit/s; 0 if unknown
	Process    uint64 `cbor:"9,keyasint,omitempty"`  // random; tells two processes of a host apart
	Eras       uint64 `cbor:"10,keyasint,omitempty"` // of the store, up to the one that the host knew; 0 if it knew no rows
}

// ownerDocument is the value of an owner row, which names the owner of one
// engine.
type ownerDocument struct {
	Host     string `cbor:"1,keyasint"`
	Takeover bool   `cbor:"2,keyasint,omitempty"` // the previous owner was another host
}

func encodeRow[T any](doc T) ([]byte, error) {
	data, err := encoder.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return data, nil
}
