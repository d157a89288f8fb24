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

// stateDocument is a State on the wire. Names holds each string once: owners,
// bases and versions repeat in nearly every view.
type stateDocument struct {
	Version uint64            `cbor:"1,keyasint,omitempty"`
	Full    bool              `cbor:"2,keyasint,omitempty"`
	Names   []cbor.ByteString `cbor:"3,keyasint,omitempty"`
	Views   []viewDocument    `cbor:"4,keyasint,omitempty"`
}

// viewDocument is a view on the wire; strings are positions in Names.
type viewDocument struct {
	Engine   int                 `cbor:"1,keyasint"`
	Owner    int                 `cbor:"2,keyasint"`
	Models   []residencyDocument `cbor:"3,keyasint,omitempty"`
	Slots    int                 `cbor:"4,keyasint,omitempty"`
	Batch    int                 `cbor:"5,keyasint,omitempty"`
	Running  int                 `cbor:"6,keyasint,omitempty"`
	Queued   int                 `cbor:"7,keyasint,omitempty"`
	AgeUS    int64               `cbor:"8,keyasint,omitempty"`
	Accepts  bool                `cbor:"9,keyasint,omitempty"`
	Room     int                 `cbor:"10,keyasint,omitempty"`
	Eviction float64             `cbor:"11,keyasint,omitempty"`
	Prefixes []byte              `cbor:"12,keyasint,omitempty"` // hashes of 8 bytes, big-endian
}

type residencyDocument struct {
	Base     int  `cbor:"1,keyasint"`
	Adapter  int  `cbor:"2,keyasint"`
	Version  int  `cbor:"3,keyasint"`
	Resident bool `cbor:"4,keyasint,omitempty"` // otherwise loading
}

const (
	hashSize = 8              // bytes of a prefix hash
	maxAge   = 24 * time.Hour // an older view is a mistake of its node
)

// names collects strings for a stateDocument.
type names struct {
	list      []cbor.ByteString
	positions map[string]int
}

func (n *names) position(s string) int {
	if p, ok := n.positions[s]; ok {
		return p
	}
	n.positions[s] = len(n.list)
	n.list = append(n.list, cbor.ByteString(s))
	return len(n.list) - 1
}

// encodeState returns the wire form of s, with ages as of now.
func encodeState(s State, now time.Time) *stateDocument {
	n := names{positions: make(map[string]int)}
	d := &stateDocument{Version: s.version, Full: s.full, Views: make([]viewDocument, 0, len(s.views))}
	for _, v := range s.views {
		d.Views = append(d.Views, encodeView(v, now, &n))
	}
	d.Names = n.list
	return d
}

func encodeView(v *viewer.View, now time.Time, n *names) viewDocument {
	age := min(max(now.Sub(v.ReceivedAt()), 0), maxAge)
	d := viewDocument{
		Engine:   n.position(v.Engine()),
		Owner:    n.position(v.Owner()),
		Models:   make([]residencyDocument, 0, len(v.Models())),
		Slots:    v.Slots(),
		Batch:    v.Batch(),
		Running:  v.Running(),
		Queued:   v.Queued(),
		AgeUS:    age.Microseconds(),
		Accepts:  v.Accepts(),
		Room:     v.LoadCapacity(),
		Eviction: v.EvictionCost(),
	}
	for m, r := range v.Models() {
		if r == viewer.Absent {
			continue
		}
		d.Models = append(d.Models, residencyDocument{
			Base:     n.position(m.Base()),
			Adapter:  n.position(m.Adapter()),
			Version:  n.position(m.Version()),
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

// decodeState returns the state that a document describes. The times of its
// views follow from their ages and the receiver's clock.
func decodeState(d *stateDocument, now time.Time) (State, error) {
	text := make([]string, 0, len(d.Names))
	for _, name := range d.Names {
		text = append(text, string(name))
	}
	views := make([]*viewer.View, 0, len(d.Views))
	for i := range d.Views {
		v, err := decodeView(&d.Views[i], now, text)
		if err != nil {
			return State{}, fmt.Errorf("view %d: %w", i, err)
		}
		views = append(views, v)
	}
	return NewState(d.Version, d.Full, views), nil
}

func decodeView(d *viewDocument, now time.Time, text []string) (*viewer.View, error) {
	if err := checkView(d, len(text)); err != nil {
		return nil, err
	}
	models := make(map[connector.Model]viewer.Residency, len(d.Models))
	for _, m := range d.Models {
		if !within(len(text), m.Base, m.Adapter, m.Version) {
			return nil, fmt.Errorf("model refers to a name beyond %d", len(text))
		}
		residency := viewer.Loading
		if m.Resident {
			residency = viewer.Resident
		}
		models[connector.NewModel(text[m.Base], text[m.Adapter], text[m.Version])] = residency
	}
	opts := []viewer.Option{viewer.WithLoadCapacity(d.Room, d.Eviction)}
	if len(d.Prefixes) > 0 {
		opts = append(opts, viewer.WithPrefixes(decodePrefixes(d.Prefixes)))
	}
	taken := now.Add(-time.Duration(d.AgeUS) * time.Microsecond)
	return viewer.NewView(text[d.Engine], text[d.Owner], models, d.Slots, d.Batch, d.Running, d.Queued, taken, d.Accepts, opts...), nil
}

func checkView(d *viewDocument, known int) error {
	switch {
	case !within(known, d.Engine, d.Owner):
		return fmt.Errorf("view refers to a name beyond %d", known)
	case min(d.Slots, d.Batch, d.Running, d.Queued, d.Room) < 0:
		return fmt.Errorf("view has a negative count")
	case d.AgeUS < 0 || d.AgeUS > maxAge.Microseconds():
		return fmt.Errorf("view has the age %d µs", d.AgeUS)
	case math.IsNaN(d.Eviction):
		return fmt.Errorf("view has no eviction cost")
	case len(d.Prefixes)%hashSize != 0:
		return fmt.Errorf("view has %d bytes of prefix hashes", len(d.Prefixes))
	}
	return nil
}

func within(known int, positions ...int) bool {
	for _, p := range positions {
		if p < 0 || p >= known {
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
