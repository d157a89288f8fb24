package messenger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/describer"
	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
)

const (
	methodSupply = "/messenger/Supply"
	methodAccuse = "/messenger/Accuse"
	methodFollow = "/messenger/Follow"
)

type modelDocument struct {
	Base    string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
}

func encodeModel(m connector.Model) modelDocument {
	return modelDocument{Base: m.Base(), Adapter: m.Adapter()}
}

func decodeModel(d modelDocument) connector.Model { return connector.NewModel(d.Base, d.Adapter, "") }

type wantDocument struct {
	Engine  string          `cbor:"1,keyasint"`
	Model   modelDocument   `cbor:"2,keyasint"`
	Version int64           `cbor:"3,keyasint,omitempty"`
	Used    []modelDocument `cbor:"4,keyasint,omitempty"`
	Missing bool            `cbor:"5,keyasint,omitempty"`
	Tokens  int             `cbor:"6,keyasint,omitempty"`
	WaitUS  int64           `cbor:"7,keyasint,omitempty"` // how long the call may wait for its turn
	Output  int             `cbor:"8,keyasint,omitempty"`
}

// States of a supply on the wire.
const (
	stateGranted  = 1
	stateDeclined = 2
	stateUnowned  = 3
	stateFull     = 4
)

type supplyDocument struct {
	State   int    `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint,omitempty"`
	WaitUS  int64  `cbor:"3,keyasint,omitempty"`
	Reason  string `cbor:"4,keyasint,omitempty"`
}

func encodeSupply(s supplier.ReserveResponse) *supplyDocument {
	switch s := s.(type) {
	case supplier.Granted:
		return &supplyDocument{State: stateGranted, Version: s.Version(), WaitUS: s.Wait().Microseconds()}
	case supplier.Declined:
		if s.Full() {
			return &supplyDocument{State: stateFull, WaitUS: s.Wait().Microseconds()}
		}
		return &supplyDocument{State: stateDeclined, Reason: s.Reason(), WaitUS: s.Wait().Microseconds()}
	default:
		return &supplyDocument{State: stateUnowned}
	}
}

func decodeSupply(d *supplyDocument) supplier.ReserveResponse {
	wait := time.Duration(d.WaitUS) * time.Microsecond
	switch d.State {
	case stateGranted:
		return supplier.NewGranted(d.Version, wait)
	case stateFull:
		return supplier.NewFull(wait)
	case stateDeclined:
		return supplier.NewDeclined(d.Reason, wait)
	default:
		return supplier.NotOwner{}
	}
}

type accuseDocument struct {
	Marks []markDocument `cbor:"1,keyasint"`
}

type markDocument struct {
	Call     uint64 `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
}

type emptyDocument struct{}

// followDocument asks for the changes of a table, or for all of it.
type followDocument struct {
	Table  string `cbor:"1,keyasint"`
	Whole  bool   `cbor:"2,keyasint,omitempty"`
	After  uint64 `cbor:"3,keyasint,omitempty"`
	WaitUS int64  `cbor:"4,keyasint,omitempty"`
}

type copyDocument struct {
	Rows    []changeDocument `cbor:"1,keyasint,omitempty"`
	Version uint64           `cbor:"2,keyasint,omitempty"`
	AgeUS   int64            `cbor:"3,keyasint,omitempty"`
	Lost    bool             `cbor:"4,keyasint,omitempty"` // the history does not reach so far back
	Unknown bool             `cbor:"5,keyasint,omitempty"` // the host has no copy of the table
	ClockUS int64            `cbor:"6,keyasint,omitempty"` // steady clock of the store
}

type changeDocument struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Removed bool   `cbor:"4,keyasint,omitempty"`
}

func encodeCopy(c mirrorer.Copy) *copyDocument {
	d := &copyDocument{Version: uint64(c.Changes().Version()), AgeUS: c.Age().Microseconds(), ClockUS: c.Changes().Clock().Microseconds()}
	for _, r := range c.Changes().List() {
		d.Rows = append(d.Rows, changeDocument{Key: r.Key(), Value: r.Value(), Version: uint64(r.Version()), Removed: r.Removed()})
	}
	return d
}

func decodeCopy(d *copyDocument) (mirrorer.Copy, error) {
	switch {
	case d.Lost:
		return mirrorer.Copy{}, storer.ErrHistoryLost
	case d.Unknown:
		return mirrorer.Copy{}, storer.ErrUnavailable
	}
	list := make([]storer.Change, 0, len(d.Rows))
	for _, r := range d.Rows {
		if r.Removed {
			list = append(list, storer.NewRemoval(r.Key, storer.Version(r.Version)))
			continue
		}
		list = append(list, storer.NewChange(storer.NewRow(r.Key, r.Value, storer.Version(r.Version))))
	}
	changes := storer.NewChanges(list, storer.Version(d.Version), time.Duration(d.ClockUS)*time.Microsecond)
	return mirrorer.NewCopy(changes, time.Duration(d.AgeUS)*time.Microsecond), nil
}

// Handler answers other hosts.
type Handler interface {
	// Reserve answers a request for a model on an engine of this host.
	Reserve(ctx context.Context, w supplier.ReserveRequest) supplier.ReserveResponse
	// ApplyMarks takes over evidence against calls.
	ApplyMarks(marks []screener.Mark)
	// Mirror returns the copy of a table, or nil.
	Mirror(table string) *mirrorer.Mirror
}

type service struct{ handler Handler }

func (s *service) supply(ctx context.Context, in *wantDocument) (*supplyDocument, error) {
	used := make([]connector.Model, 0, len(in.Used))
	for _, m := range in.Used {
		used = append(used, decodeModel(m))
	}
	w := supplier.NewReserveRequest(in.Engine, decodeModel(in.Model), supplier.WithMinVersion(in.Version), supplier.WithModelMissing(in.Missing),
		supplier.WithSize(in.Tokens, in.Output, time.Duration(in.WaitUS)*time.Microsecond), supplier.WithModelsInUse(used))
	return encodeSupply(s.handler.Reserve(ctx, w)), nil
}

func (s *service) accuse(_ context.Context, in *accuseDocument) (*emptyDocument, error) {
	marks := make([]screener.Mark, 0, len(in.Marks))
	for _, m := range in.Marks {
		marks = append(marks, screener.NewMark(screener.Fingerprint(m.Call), m.Endpoint))
	}
	s.handler.ApplyMarks(marks)
	return &emptyDocument{}, nil
}

func (s *service) follow(ctx context.Context, in *followDocument) (*copyDocument, error) {
	m := s.handler.Mirror(in.Table)
	if m == nil {
		return &copyDocument{Unknown: true}, nil
	}
	var c mirrorer.Copy
	var err error
	if in.Whole {
		c, err = m.Snapshot()
	} else {
		c, err = m.Follow(ctx, storer.Version(in.After), min(time.Duration(in.WaitUS)*time.Microsecond, maxWait))
	}
	switch {
	case errors.Is(err, storer.ErrHistoryLost):
		return &copyDocument{Lost: true}, nil
	case errors.Is(err, storer.ErrUnavailable):
		return &copyDocument{Unknown: true}, nil
	case err != nil:
		return nil, fmt.Errorf("follow table %s: %w", in.Table, err)
	}
	return encodeCopy(c), nil
}

// maxWait bounds how long a call of another host is held back.
const maxWait = 5 * time.Second

func describe() drpc.Description {
	return describer.New(encoder.DRPC{},
		describer.Unary(methodSupply, (*service).supply),
		describer.Unary(methodAccuse, (*service).accuse),
		describer.Unary(methodFollow, (*service).follow))
}
