package messenger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/describer"
	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/permitter"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/sharer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
)

const (
	methodReserve        = "/messenger/Supply"
	methodSendEvidence   = "/messenger/Accuse"
	methodSendLimits     = "/messenger/SendLimits"
	methodAdmit          = "/messenger/Admit"
	methodFollow         = "/messenger/Follow"
	methodReplicate      = "/messenger/Replicate"
	methodFind           = "/messenger/Find"
	methodStatus         = "/messenger/RecordStatus"
	methodDraw           = "/messenger/Draw"
	methodSendDelegation = "/messenger/SendDelegation"
	methodReportSpeed    = "/messenger/ReportSpeed"
)

type modelDocument struct {
	Base    string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
}

func encodeModel(m connector.Model) modelDocument {
	return modelDocument{Base: m.Base(), Adapter: m.Adapter()}
}

func decodeModel(d modelDocument) connector.Model { return connector.NewModel(d.Base, d.Adapter, "") }

type reserveRequestDocument struct {
	Engine               string          `cbor:"1,keyasint"`
	Model                modelDocument   `cbor:"2,keyasint"`
	Version              int64           `cbor:"3,keyasint,omitempty"`
	ModelsInUse          []modelDocument `cbor:"4,keyasint,omitempty"`
	ModelMissing         bool            `cbor:"5,keyasint,omitempty"`
	PromptTokens         int             `cbor:"6,keyasint,omitempty"`
	MaxWaitUS            int64           `cbor:"7,keyasint,omitempty"` // maximum wait of the call for a slot
	ExpectedOutputTokens int             `cbor:"8,keyasint,omitempty"`
	MaxLoadWaitUS        int64           `cbor:"11,keyasint,omitempty"` // maximum wait behind loads of other models
	LastResort           bool            `cbor:"12,keyasint,omitempty"`
	Workspace            string          `cbor:"14,keyasint,omitempty"`
	Priority             int             `cbor:"15,keyasint,omitempty"` // of the workspace
	// Samples of earlier calls at the engine.
	Prefills    []prefillDocument    `cbor:"9,keyasint,omitempty"`
	Generations []generationDocument `cbor:"10,keyasint,omitempty"`
	Occupancy   *occupancyDocument   `cbor:"13,keyasint,omitempty"`
}

type occupancyDocument struct {
	Jobs int `cbor:"1,keyasint"`
}

type prefillDocument struct {
	Tokens int   `cbor:"1,keyasint"`
	TookUS int64 `cbor:"2,keyasint"`
}

type generationDocument struct {
	ExpectedTokens int   `cbor:"1,keyasint"`
	TookUS         int64 `cbor:"2,keyasint"`
	Paused         bool  `cbor:"3,keyasint,omitempty"`
}

func (d *reserveRequestDocument) encodeSamples(samples []estimator.Sample) {
	for _, s := range samples {
		switch s := s.(type) {
		case estimator.Prefill:
			d.Prefills = append(d.Prefills, prefillDocument{Tokens: s.Tokens(), TookUS: s.Took().Microseconds()})
		case estimator.Occupancy:
			d.Occupancy = &occupancyDocument{Jobs: s.Jobs()}
		case estimator.Generation:
			d.Generations = append(d.Generations, generationDocument{
				ExpectedTokens: s.ExpectedTokens(), TookUS: s.Took().Microseconds(), Paused: s.Paused(),
			})
		}
	}
}

func (d *reserveRequestDocument) decodeSamples() []estimator.Sample {
	var samples []estimator.Sample
	for _, p := range d.Prefills {
		samples = append(samples, estimator.NewPrefill(p.Tokens, microseconds(p.TookUS)))
	}
	for _, g := range d.Generations {
		samples = append(samples, estimator.NewGeneration(g.ExpectedTokens, microseconds(g.TookUS), g.Paused))
	}
	if d.Occupancy != nil {
		samples = append(samples, estimator.NewOccupancy(d.Occupancy.Jobs))
	}
	return samples
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Encoded types of a supplier.ReserveResponse.
const (
	stateGranted  = 1
	stateDeclined = 2
	stateNotOwner = 3
	stateFull     = 4
	stateLoads    = 5 // declined because of queued loads
)

type reserveResponseDocument struct {
	State   int    `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint,omitempty"`
	WaitUS  int64  `cbor:"3,keyasint,omitempty"`
	Reason  string `cbor:"4,keyasint,omitempty"`
	Unsure  bool   `cbor:"5,keyasint,omitempty"` // the owner has too few samples of the engine
}

func encodeReserveResponse(s supplier.ReserveResponse) *reserveResponseDocument {
	switch s := s.(type) {
	case supplier.Granted:
		return &reserveResponseDocument{State: stateGranted, Version: s.Version(), WaitUS: s.Wait().Microseconds(), Unsure: s.Unsure()}
	case supplier.Declined:
		if s.Full() {
			return &reserveResponseDocument{State: stateFull, WaitUS: s.Wait().Microseconds()}
		}
		if s.LoadsQueued() {
			return &reserveResponseDocument{State: stateLoads, WaitUS: s.Wait().Microseconds()}
		}
		return &reserveResponseDocument{State: stateDeclined, Reason: s.Reason(), WaitUS: s.Wait().Microseconds()}
	default:
		return &reserveResponseDocument{State: stateNotOwner}
	}
}

func decodeReserveResponse(d *reserveResponseDocument) supplier.ReserveResponse {
	wait := microseconds(d.WaitUS)
	switch d.State {
	case stateGranted:
		granted := supplier.NewGranted(d.Version, wait)
		if d.Unsure {
			return granted.AsUnsure()
		}
		return granted
	case stateFull:
		return supplier.NewFull(wait)
	case stateLoads:
		return supplier.NewLoadsQueued(wait)
	case stateDeclined:
		return supplier.NewDeclined(d.Reason, wait)
	default:
		return supplier.NotOwner{}
	}
}

type emptyDocument struct{}

// followDocument requests the changes of a table after a version, or all rows.
type followDocument struct {
	Table    string `cbor:"1,keyasint"`
	Snapshot bool   `cbor:"2,keyasint,omitempty"`
	After    uint64 `cbor:"3,keyasint,omitempty"`
	WaitUS   int64  `cbor:"4,keyasint,omitempty"`
	Packs    bool   `cbor:"5,keyasint,omitempty"` // the sender reads packed rows
}

type copyDocument struct {
	Rows        []changeDocument `cbor:"1,keyasint,omitempty"`
	Version     uint64           `cbor:"2,keyasint,omitempty"`
	AgeUS       int64            `cbor:"3,keyasint,omitempty"`
	HistoryLost bool             `cbor:"4,keyasint,omitempty"` // the changes since the requested version are not all available
	Unavailable bool             `cbor:"5,keyasint,omitempty"` // the host has no copy of the table
	ClockUS     int64            `cbor:"6,keyasint,omitempty"` // monotonic clock of the store
	Packed      []byte           `cbor:"7,keyasint,omitempty"` // rows, in place of Rows
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
	case d.HistoryLost:
		return mirrorer.Copy{}, storer.ErrHistoryLost
	case d.Unavailable:
		return mirrorer.Copy{}, storer.ErrUnavailable
	}
	if err := d.unpack(); err != nil {
		return mirrorer.Copy{}, err
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

// Handler handles messages of other hosts.
type Handler interface {
	// Reserve handles a request for capacity on an engine of this host.
	Reserve(ctx context.Context, request supplier.ReserveRequest) supplier.ReserveResponse
	// Learn applies evidence that another host sent.
	Learn(list []screener.Evidence)
	// LearnLimits applies news of limits that another host sent.
	LearnLimits(list []permitter.Report)
	// Admit handles a request for a turn at an endpoint.
	Admit(request permitter.Request) permitter.Response
	// Draw handles a request for the tokens of a call. It fails with allotter.ErrEnded if this
	// host grants nothing any more.
	Draw(r allotter.Request) (accountant.Verdict, error)
	// RecordDelegation records what another host delegates to this one, and fails like Draw.
	RecordDelegation(d allotter.Delegation) error
	// KeepRecords keeps records of streams that began at another host.
	KeepRecords(list []replicator.Record)
	// FindRecord returns what this host knows of the record of a stream.
	FindRecord(service, key string) pinner.Answer
	// RecordStatus returns what this host has sent to a process of another host.
	RecordStatus(process uint64) replicator.Status
	// LearnSpeed records what a call of another host showed of the speed of an engine that
	// this host owns.
	LearnSpeed(r procurer.SpeedReport)
	// Mirror returns this host's copy of a table, or nil if it has none.
	Mirror(table string) *mirrorer.Mirror
}

type service struct {
	handler Handler
	tables  packedTables
}

func (s *service) reserve(ctx context.Context, in *reserveRequestDocument) (*reserveResponseDocument, error) {
	used := make([]connector.Model, 0, len(in.ModelsInUse))
	for _, m := range in.ModelsInUse {
		used = append(used, decodeModel(m))
	}
	request := supplier.NewReserveRequest(in.Engine, decodeModel(in.Model), supplier.WithMinVersion(in.Version), supplier.WithModelMissing(in.ModelMissing),
		supplier.WithSize(in.PromptTokens, in.ExpectedOutputTokens, time.Duration(in.MaxWaitUS)*time.Microsecond), supplier.WithModelsInUse(used), supplier.WithMaxLoadWait(microseconds(in.MaxLoadWaitUS)),
		supplier.WithLastResort(in.LastResort), supplier.WithWorkspace(sharer.NewWorkspace(in.Workspace, in.Priority)),
		supplier.WithSamples(in.decodeSamples()))
	return encodeReserveResponse(s.handler.Reserve(ctx, request)), nil
}

func (s *service) follow(ctx context.Context, in *followDocument) (*copyDocument, error) {
	m := s.handler.Mirror(in.Table)
	if m == nil {
		return &copyDocument{Unavailable: true}, nil
	}
	var c mirrorer.Copy
	var err error
	if in.Snapshot {
		c, err = m.Snapshot()
	} else {
		c, err = m.Follow(ctx, storer.Version(in.After), min(time.Duration(in.WaitUS)*time.Microsecond, maxWait))
	}
	switch {
	case errors.Is(err, storer.ErrHistoryLost):
		return &copyDocument{HistoryLost: true}, nil
	case errors.Is(err, storer.ErrUnavailable):
		return &copyDocument{Unavailable: true}, nil
	case err != nil:
		return nil, fmt.Errorf("follow table %s: %w", in.Table, err)
	}
	if in.Snapshot && in.Packs {
		return s.tables.get(in.Table, c)
	}
	out := encodeCopy(c)
	if in.Packs {
		if err := out.pack(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// maxWait bounds how long a long poll of another host is held.
const maxWait = 5 * time.Second

func describe() drpc.Description {
	return describer.New(encoder.DRPC{},
		describer.Unary(methodReserve, (*service).reserve),
		describer.Unary(methodSendEvidence, (*service).learn),
		describer.Unary(methodSendLimits, (*service).learnLimits),
		describer.Unary(methodAdmit, (*service).admit),
		describer.Unary(methodFollow, (*service).follow),
		describer.Unary(methodReplicate, (*service).replicate),
		describer.Unary(methodFind, (*service).find),
		describer.Unary(methodStatus, (*service).status),
		describer.Unary(methodDraw, (*service).draw),
		describer.Unary(methodSendDelegation, (*service).recordDelegation),
		describer.Unary(methodReportSpeed, (*service).learnSpeed))
}
