package encoder

import "storj.io/drpc"

// DRPC encodes the messages of drpc streams.
type DRPC struct{}

var _ drpc.Encoding = DRPC{}

// Marshal encodes a message.
func (DRPC) Marshal(msg drpc.Message) ([]byte, error) { return encode(msg) }

// Unmarshal decodes a message into msg, which is a pointer.
func (DRPC) Unmarshal(buf []byte, msg drpc.Message) error { return decode(buf, msg) }
