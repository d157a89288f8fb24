package relayer

import "github.com/rotisserie/eris"

// errPartialEvent reports a stream that ended inside an event, or before its first one.
// The endpoint broke it off, also if the connection was closed properly.
var errPartialEvent = eris.New("stream ended without a complete last event")

// eventScanner finds the ends of the events of a stream without keeping their data. An
// event ends with an empty line.
type eventScanner struct {
	events    int
	size      int  // bytes since the last complete event
	started   bool // data has arrived since the last complete event
	lineEmpty bool // no data has arrived since the last end of a line
}

// scan reads the next data of the stream.
func (s *eventScanner) scan(data []byte) {
	for _, b := range data {
		s.size++
		switch {
		case b == '\r':
		case b == '\n' && s.started && s.lineEmpty:
			s.events++
			s.started, s.size = false, 0
		case b == '\n':
			s.lineEmpty = true
		default:
			s.started, s.lineEmpty = true, false
		}
	}
}

// complete reports whether the stream may end here. Empty is whether it may have no
// event.
func (s *eventScanner) complete(empty bool) bool {
	return !s.started && (s.events > 0 || empty)
}
