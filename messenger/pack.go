package messenger

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/encoder"
)

const (
	// minPacked is the number of rows from which on they are packed. The rows of a table are
	// alike, so that many of them take a third of their size or less, and a few do not.
	minPacked = 4
	// partRows is the number of rows that are encoded together. One encoded value has a
	// maximum size, which the rows of a large table exceed.
	partRows = 512
	// maxUnpacked bounds the size of unpacked rows.
	maxUnpacked = 64 << 20 // bytes
)

var errUnpacked = eris.New("rows exceed the maximum size")

// packers holds writers, which take several hundred kB each.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// pack packs the rows if there are enough of them.
func (d *copyDocument) pack() error {
	if len(d.Rows) < minPacked {
		return nil
	}
	var packed bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	for part := range slices.Chunk(d.Rows, partRows) {
		data, err := encoder.Marshal(part)
		if err != nil {
			return fmt.Errorf("encode rows: %w", err)
		}
		if _, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)); err != nil {
			return fmt.Errorf("pack rows: %w", err)
		}
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("pack rows: %w", err)
	}
	d.Rows, d.Packed = nil, packed.Bytes()
	return nil
}

// unpack unpacks the rows if they are packed.
func (d *copyDocument) unpack() error {
	if len(d.Packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(d.Packed))
	for total := 0; ; {
		var prefix [4]byte
		if _, err := io.ReadFull(r, prefix[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("unpack rows: %w", err)
		}
		n := int(binary.BigEndian.Uint32(prefix[:]))
		if total += n; n > encoder.MaxSize || total > maxUnpacked {
			return errUnpacked
		}
		data := make([]byte, n)
		if _, err := io.ReadFull(r, data); err != nil {
			return fmt.Errorf("unpack rows: %w", err)
		}
		part, err := encoder.Unmarshal[[]changeDocument](data)
		if err != nil {
			return fmt.Errorf("decode rows: %w", err)
		}
		d.Rows = append(d.Rows, part...)
	}
}
