package messenger

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
)

// drawDocument asks for the tokens of a call.
type drawDocument struct {
	From      string          `cbor:"1,keyasint"`
	Workspace string          `cbor:"2,keyasint"`
	Version   int64           `cbor:"3,keyasint"` // of the configuration
	Rate      float64         `cbor:"4,keyasint"`
	Burst     float64         `cbor:"5,keyasint,omitempty"`
	Cost      float64         `cbor:"6,keyasint,omitempty"`
	Report    *reportDocument `cbor:"7,keyasint,omitempty"`
	Role      int             `cbor:"8,keyasint,omitempty"`
	Ceiling   *float64        `cbor:"9,keyasint,omitempty"` // the most that can be left of the quota
}

type drawnDocument struct {
	Granted bool     `cbor:"1,keyasint,omitempty"`
	WaitUS  int64    `cbor:"2,keyasint,omitempty"`
	Ended   bool     `cbor:"3,keyasint,omitempty"` // the host grants nothing any more
	Balance *float64 `cbor:"4,keyasint,omitempty"` // units; absent if unknown
}

// reportDocument reports on earlier calls of a workspace, in tokens.
type reportDocument struct {
	Returned  float64 `cbor:"1,keyasint,omitempty"`
	Late      float64 `cbor:"2,keyasint,omitempty"`
	Elsewhere float64 `cbor:"3,keyasint,omitempty"`
}

// delegationDocument delegates the sender's parts of quotas.
type delegationDocument struct {
	From       string                    `cbor:"1,keyasint"`
	Workspaces []string                  `cbor:"2,keyasint"`
	Reports    map[string]reportDocument `cbor:"3,keyasint,omitempty"` // by workspace; those that are not empty
	Role       int                       `cbor:"4,keyasint,omitempty"`
}

// delegatedDocument answers a delegation.
type delegatedDocument struct {
	Ended bool `cbor:"1,keyasint,omitempty"` // the host grants nothing any more
}

func encodeReport(r allotter.Report) reportDocument {
	return reportDocument{Returned: r.Returned(), Late: r.Late(), Elsewhere: r.Elsewhere()}
}

func decodeReport(d reportDocument) allotter.Report {
	return allotter.NewReport(d.Returned, d.Late, d.Elsewhere)
}

// Encoded types of an allotter.Role.
const (
	rolePrimary    = 0
	roleStandby    = 1
	roleSubstitute = 2
	roleFormer     = 3
)

func encodeRole(r allotter.Role) int {
	switch r.(type) {
	case allotter.Standby:
		return roleStandby
	case allotter.Substitute:
		return roleSubstitute
	case allotter.Former:
		return roleFormer
	default:
		return rolePrimary
	}
}

func decodeRole(role int) allotter.Role {
	switch role {
	case rolePrimary:
		return allotter.Primary{}
	case roleSubstitute:
		return allotter.Substitute{}
	case roleFormer:
		return allotter.Former{}
	default:
		return allotter.Standby{}
	}
}

func encodeDraw(r allotter.Request) *drawDocument {
	d := &drawDocument{
		From: r.From(), Workspace: r.Workspace(), Version: r.Terms().Version(), Rate: r.Terms().Rate(), Burst: r.Terms().Burst(),
		Cost: r.Cost(), Role: encodeRole(r.Role()), Ceiling: r.Ceiling(),
	}
	if report := encodeReport(r.Report()); report != (reportDocument{}) {
		d.Report = &report
	}
	return d
}

func decodeDraw(d *drawDocument) allotter.Request {
	r := allotter.NewRequest(d.From, d.Workspace, accountant.NewTerms(d.Version, d.Rate, d.Burst), d.Cost).As(decodeRole(d.Role))
	if d.Report != nil {
		r = r.With(decodeReport(*d.Report))
	}
	if d.Ceiling != nil {
		r = r.AtMost(*d.Ceiling)
	}
	return r
}

func encodeDrawn(v accountant.Verdict) *drawnDocument {
	d := &drawnDocument{Granted: true}
	if exceeded, ok := v.(accountant.Exceeded); ok {
		d = &drawnDocument{WaitUS: exceeded.Wait().Microseconds()}
	}
	if units, known := v.Balance().Units(); known {
		d.Balance = &units
	}
	return d
}

func decodeDrawn(d *drawnDocument) accountant.Verdict {
	var left accountant.Balance
	if d.Balance != nil {
		left = accountant.NewBalance(*d.Balance)
	}
	if d.Granted {
		return accountant.NewGranted(left)
	}
	return accountant.NewExceeded(microseconds(d.WaitUS), left)
}

func encodeDelegation(d allotter.Delegation) *delegationDocument {
	doc := &delegationDocument{From: d.From(), Role: encodeRole(d.Role()), Reports: make(map[string]reportDocument)}
	for _, q := range d.Quotas() {
		doc.Workspaces = append(doc.Workspaces, q.Workspace())
		if report := encodeReport(q.Report()); report != (reportDocument{}) {
			doc.Reports[q.Workspace()] = report
		}
	}
	return doc
}

func decodeDelegation(d *delegationDocument) allotter.Delegation {
	list := make([]allotter.Quota, 0, len(d.Workspaces))
	for _, workspace := range d.Workspaces {
		list = append(list, allotter.NewQuota(workspace, decodeReport(d.Reports[workspace])))
	}
	return allotter.NewDelegation(d.From, list, decodeRole(d.Role))
}

func (s *service) draw(_ context.Context, in *drawDocument) (*drawnDocument, error) {
	verdict, err := s.handler.Draw(decodeDraw(in))
	switch {
	case errors.Is(err, allotter.ErrEnded):
		return &drawnDocument{Ended: true}, nil
	case err != nil:
		return nil, fmt.Errorf("draw: %w", err)
	}
	return encodeDrawn(verdict), nil
}

func (s *service) recordDelegation(_ context.Context, in *delegationDocument) (*delegatedDocument, error) {
	err := s.handler.RecordDelegation(decodeDelegation(in))
	if err != nil && !errors.Is(err, allotter.ErrEnded) {
		return nil, fmt.Errorf("record delegation: %w", err)
	}
	return &delegatedDocument{Ended: err != nil}, nil
}

// Draw asks the host at address for the tokens of a call.
func (m *Messenger) Draw(ctx context.Context, address string, r allotter.Request) (accountant.Verdict, error) {
	var out drawnDocument
	if err := m.invoke(ctx, address, methodDraw, encodeDraw(r), &out); err != nil {
		return nil, asEnded(err)
	}
	if out.Ended {
		return nil, allotter.ErrEnded
	}
	return decodeDrawn(&out), nil
}

// SendDelegation delegates this host's parts of quotas to the host at address.
func (m *Messenger) SendDelegation(ctx context.Context, address string, d allotter.Delegation) error {
	var out delegatedDocument
	if err := m.invoke(ctx, address, methodSendDelegation, encodeDelegation(d), &out); err != nil {
		return asEnded(err)
	}
	if out.Ended {
		return allotter.ErrEnded
	}
	return nil
}

// asEnded marks the error of a message to a host that refuses connections.
func asEnded(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", allotter.ErrEnded, err)
	}
	return err
}
