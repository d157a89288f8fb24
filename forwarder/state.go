package forwarder

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// stateDocument is the wire form of a State. Names is its string table, because
// owners, bases and versions repeat in nearly every view.
type stateDocument struct {
	Version uint64            `cbor:"1,keyasint,omitempty"`
	Full    bool              `cbor:"2,keyasint,omitempty"`
	Names   []cbor.ByteString `cbor:"3,keyasint,omitempty"`
	Views   []viewDocument    `cbor:"4,keyasint,omitempty"`
}

// viewDocument is the wire form of a view. Strings are indexes into Names.
type viewDocument struct {
	Engine       int                 `cbor:"1,keyasint"`
	Owner        int                 `cbor:"2,keyasint"`
	Models       []residencyDocument `cbor:"3,keyasint,omitempty"`
	Slots        int                 `cbor:"4,keyasint,omitempty"`
	Batch        int                 `cbor:"5,keyasint,omitempty"`
	Running      int                 `cbor:"6,keyasint,omitempty"`
	Queued       int                 `cbor:"7,keyasint,omitempty"`
	AgeUS        int64               `cbor:"8,keyasint,omitempty"`
	Accepts      bool                `cbor:"9,keyasint,omitempty"`
	LoadCapacity int                 `cbor:"10,keyasint,omitempty"`
	EvictionCost float64             `cbor:"11,keyasint,omitempty"`
	Prefixes     []byte              `cbor:"12,keyasint,omitempty"` // hashes of 8 bytes, big-endian
}

type residencyDocument struct {
	Base     int  `cbor:"1,keyasint"`
	Adapter  int  `cbor:"2,keyasint"`
	Version  int  `cbor:"3,keyasint"`
	Resident bool `cbor:"4,keyasint,omitempty"` // otherwise loading
}

const (
	hashSize   = 8              // bytes of a prefix hash
	maxViewAge = 24 * time.Hour // an older view is a fault of the node that sent it
)

// stringTable collects the distinct strings of a stateDocument.
type stringTable struct {
	list    []cbor.ByteString
	indexes map[string]int
}

func (t *stringTable) index(s string) int {
	if i, ok := t.indexes[s]; ok {
		return i
	}
	t.indexes[s] = len(t.list)
	t.list = append(t.list, cbor.ByteString(s))
	return len(t.list) - 1
}

// encodeState returns the wire form of s, with the ages of the views at now.
func encodeState(s State, now time.Time) *stateDocument {
	table := stringTable{indexes: make(map[string]int)}
	d := &stateDocument{Version: s.version, Full: s.full, Views: make([]viewDocument, 0, len(s.views))}
	for _, v := range s.views {
		d.Views = append(d.Views, encodeView(v, now, &table))
	}
	d.Names = table.list
	return d
}

func encodeView(v *viewer.View, now time.Time, table *stringTable) viewDocument {
	age := min(max(now.Sub(v.ReceivedAt()), 0), maxViewAge)
	d := viewDocument{
		Engine:       table.index(v.Engine()),
		Owner:        table.index(v.Owner()),
		Models:       make([]residencyDocument, 0, len(v.Models())),
		Slots:        v.Slots(),
		Batch:        v.Batch(),
		Running:      v.Running(),
		Queued:       v.Queued(),
		AgeUS:        age.Microseconds(),
		Accepts:      v.Accepts(),
		LoadCapacity: v.LoadCapacity(),
		EvictionCost: v.EvictionCost(),
	}
	for m, r := range v.Models() {
		if r == viewer.Absent {
			continue
		}
		d.Models = append(d.Models, residencyDocument{
			Base:     table.index(m.Base()),
			Adapter:  table.index(m.Adapter()),
			Version:  table.index(m.Version()),
			Resident: r == viewer.Resident,
		})
	}
	slices.SortFunc(d.Models, func(a, b residencyDocument) int {
		return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	for _, h := range v.Prefixes().Hashes() {
		d.Prefixes = binary.BigEndian.AppendUint64(d.Prefixes, h)
	}
	return d
}

// decodeState returns the state that d describes. It computes the times of the
// views from their ages and now, the time on the receiver's clock.
func decodeState(d *stateDocument, now time.Time) (State, error) {
	names := make([]string, 0, len(d.Names))
	for _, name := range d.Names {
		names = append(names, string(name))
	}
	views := make([]*viewer.View, 0, len(d.Views))
	for i := range d.Views {
		v, err := decodeView(&d.Views[i], now, names)
		if err != nil {
			return State{}, fmt.Errorf("view %d: %w", i, err)
		}
		views = append(views, v)
	}
	return NewState(d.Version, d.Full, views), nil
}

func decodeView(d *viewDocument, now time.Time, names []string) (*viewer.View, error) {
	if err := checkView(d, len(names)); err != nil {
		return nil, err
	}
	models := make(map[connector.Model]viewer.Residency, len(d.Models))
	for _, m := range d.Models {
		if !inRange(len(names), m.Base, m.Adapter, m.Version) {
			return nil, fmt.Errorf("model refers to a name outside the table of %d names", len(names))
		}
		residency := viewer.Loading
		if m.Resident {
			residency = viewer.Resident
		}
		models[connector.NewModel(names[m.Base], names[m.Adapter], names[m.Version])] = residency
	}
	opts := []viewer.Option{viewer.WithLoadCapacity(d.LoadCapacity, d.EvictionCost)}
	if len(d.Prefixes) > 0 {
		opts = append(opts, viewer.WithPrefixes(decodePrefixes(d.Prefixes)))
	}
	receivedAt := now.Add(-time.Duration(d.AgeUS) * time.Microsecond)
	return viewer.NewView(names[d.Engine], names[d.Owner], models, d.Slots, d.Batch, d.Running, d.Queued, receivedAt, d.Accepts, opts...), nil
}

func checkView(d *viewDocument, nameCount int) error {
	switch {
	case !inRange(nameCount, d.Engine, d.Owner):
		return fmt.Errorf("view refers to a name outside the table of %d names", nameCount)
	case min(d.Slots, d.Batch, d.Running, d.Queued, d.LoadCapacity) < 0:
		return fmt.Errorf("view has a negative count")
	case d.AgeUS < 0 || d.AgeUS > maxViewAge.Microseconds():
		return fmt.Errorf("view has an age of %d µs, which is out of range", d.AgeUS)
	case math.IsNaN(d.EvictionCost):
		return fmt.Errorf("view has an eviction cost that is not a number")
	case len(d.Prefixes)%hashSize != 0:
		return fmt.Errorf("view has %d bytes of prefix hashes, which is not a multiple of the hash size", len(d.Prefixes))
	}
	return nil
}

// inRange reports whether all indexes are valid for a table of n entries.
func inRange(n int, indexes ...int) bool {
	for _, i := range indexes {
		if i < 0 || i >= n {
			return false
		}
	}
	return true
}

func decodePrefixes(data []byte) *viewer.Prefixes {
	hashes := make([]uint64, 0, len(data)/hashSize)
	for ; len(data) > 0; data = data[hashSize:] {
		hashes = append(hashes, binary.BigEndian.Uint64(data))
	}
	return viewer.NewPrefixes(hashes)
}
