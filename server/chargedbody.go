package server

import (
	"io"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/reserver"
)

var errNoBodyMemory = eris.New("the memory for bodies is in use")

const (
	// reservedPart is the divisor of the memory for bodies that gives the part for small
	// ones, and smallBody is their size in bytes.
	reservedPart = 4
	smallBody    = 64 << 10
	// growthFactor accounts for io.ReadAll, which holds a body twice while it grows.
	growthFactor = 2
)

// chargedBody is a request body whose bytes are charged to a budget as they arrive.
type chargedBody struct {
	io.ReadCloser
	share reserver.Share
}

func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.share.Grow(int64(n)*growthFactor) {
		return 0, errNoBodyMemory
	}
	return n, err //nolint:wrapcheck // io.EOF must be kept
}
