package exchanger

import (
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLong reports a head of a response without end.
var ErrTooLong = eris.New("head of the response exceeds the maximum length")

// boundedReader reads at most a number of bytes while a bound is set. An endpoint in
// trouble may send a head without end, which would be kept in memory.
type boundedReader struct {
	io.Reader
	bounded bool
	left    int
	ended   bool // the connection ended or failed
}

// bound lets the reader return at most n bytes from now on.
func (b *boundedReader) bound(n int) { b.bounded, b.left = true, n }

// unbound lets the reader return any number of bytes again.
func (b *boundedReader) unbound() { b.bounded = false }

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.bounded && b.left == 0 {
		return 0, ErrTooLong
	}
	if b.bounded {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.Reader.Read(p)
	b.left -= n
	b.ended = b.ended || err != nil
	return n, err
}
