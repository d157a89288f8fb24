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
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
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

// packedReuse is how long the packed rows of a whole table are used for further hosts. When
// all hosts start, several ask for it at once, and packing it takes processor time of a small
// host each time.
const packedReuse = 500 * time.Millisecond

// packedTables holds the latest packed copy of each table.
type packedTables struct {
	mu      sync.Mutex
	byTable map[string]packedTable
}

type packedTable struct {
	document copyDocument
	version  storer.Version
	at       time.Time
}

// get returns the packed copy c of a whole table, or one that was packed shortly before.
// Requests for it wait for each other.
func (p *packedTables) get(table string, c mirrorer.Copy) (*copyDocument, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	known, version := p.byTable[table], c.Changes().Version()
	if elapsed := now.Sub(known.at); elapsed < packedReuse && known.version.Era() == version.Era() && known.version <= version {
		return known.document.aged(elapsed), nil
	}
	out := encodeCopy(c)
	if err := out.pack(); err != nil {
		return nil, err
	}
	if p.byTable == nil {
		p.byTable = make(map[string]packedTable)
	}
	p.byTable[table] = packedTable{document: *out, version: version, at: now}
	return out, nil
}

// aged returns the document at a later time.
func (d copyDocument) aged(by time.Duration) *copyDocument {
	d.AgeUS += by.Microseconds()
	if d.ClockUS > 0 {
		d.ClockUS += by.Microseconds()
	}
	return &d
}
