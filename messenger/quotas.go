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
	From      string  `cbor:"1,keyasint"`
	Workspace string  `cbor:"2,keyasint"`
	Version   int64   `cbor:"3,keyasint"` // of the configuration
	Rate      float64 `cbor:"4,keyasint"`
	Burst     float64 `cbor:"5,keyasint,omitempty"`
	Cost      float64 `cbor:"6,keyasint,omitempty"`
	Returned  float64 `cbor:"7,keyasint,omitempty"`
	Role      int     `cbor:"8,keyasint,omitempty"`
	Elsewhere float64 `cbor:"9,keyasint,omitempty"`
}

type drawnDocument struct {
	Granted bool  `cbor:"1,keyasint,omitempty"`
	WaitUS  int64 `cbor:"2,keyasint,omitempty"`
}

// presenceDocument tells that a host reaches the owner of quotas.
type presenceDocument struct {
	From       string    `cbor:"1,keyasint"`
	Workspaces []string  `cbor:"2,keyasint"`
	Returned   []float64 `cbor:"3,keyasint,omitempty"` // by workspace; none if no tokens are returned
	Role       int       `cbor:"4,keyasint,omitempty"`
	Elsewhere  []float64 `cbor:"5,keyasint,omitempty"` // by workspace; none if there are no such tokens
}

// Encoded types of an allotter.Role.
const (
	rolePrimary    = 0
	roleStandby    = 1
	roleSubstitute = 2
)

func encodeRole(r allotter.Role) int {
	switch r.(type) {
	case allotter.Standby:
		return roleStandby
	case allotter.Substitute:
		return roleSubstitute
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
	default:
		return allotter.Standby{}
	}
}

func encodeDraw(r allotter.Request) *drawDocument {
	return &drawDocument{
		From: r.From(), Workspace: r.Workspace(), Version: r.Terms().Version(), Rate: r.Terms().Rate(), Burst: r.Terms().Burst(),
		Cost: r.Cost(), Returned: r.Returned(), Elsewhere: r.Elsewhere(), Role: encodeRole(r.Role()),
	}
}

func decodeDraw(d *drawDocument) allotter.Request {
	terms := accountant.NewTerms(d.Version, d.Rate, d.Burst)
	return allotter.NewRequest(d.From, d.Workspace, terms, d.Cost).Returning(d.Returned).After(d.Elsewhere).As(decodeRole(d.Role))
}

func encodeDrawn(v accountant.Verdict) *drawnDocument {
	if exceeded, ok := v.(accountant.Exceeded); ok {
		return &drawnDocument{WaitUS: exceeded.Wait().Microseconds()}
	}
	return &drawnDocument{Granted: true}
}

func decodeDrawn(d *drawnDocument) accountant.Verdict {
	if d.Granted {
		return accountant.Granted{}
	}
	return accountant.NewExceeded(microseconds(d.WaitUS))
}

func encodePresence(p allotter.Presence) *presenceDocument {
	d := &presenceDocument{From: p.From(), Role: encodeRole(p.Role())}
	for i, q := range p.Quotas() {
		d.Workspaces = append(d.Workspaces, q.Workspace())
		d.Returned = setAt(d.Returned, i, q.Returned(), len(p.Quotas()))
		d.Elsewhere = setAt(d.Elsewhere, i, q.Elsewhere(), len(p.Quotas()))
	}
	return d
}

// setAt sets a value of a list, which is made once a value is not 0.
func setAt(list []float64, i int, v float64, length int) []float64 {
	if v == 0 {
		return list
	}
	if list == nil {
		list = make([]float64, length)
	}
	list[i] = v
	return list
}

// at returns a value of a list that may be shorter.
func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

func decodePresence(d *presenceDocument) allotter.Presence {
	list := make([]allotter.Quota, 0, len(d.Workspaces))
	for i, workspace := range d.Workspaces {
		list = append(list, allotter.NewQuota(workspace, at(d.Returned, i), at(d.Elsewhere, i)))
	}
	return allotter.NewPresence(d.From, list, decodeRole(d.Role))
}

func (s *service) draw(_ context.Context, in *drawDocument) (*drawnDocument, error) {
	return encodeDrawn(s.handler.Draw(decodeDraw(in))), nil
}

func (s *service) hear(_ context.Context, in *presenceDocument) (*emptyDocument, error) {
	s.handler.HearPresence(decodePresence(in))
	return &emptyDocument{}, nil
}

// Draw asks the host at address for the tokens of a call.
func (m *Messenger) Draw(ctx context.Context, address string, r allotter.Request) (accountant.Verdict, error) {
	var out drawnDocument
	if err := m.invoke(ctx, address, methodDraw, encodeDraw(r), &out); err != nil {
		return nil, asEnded(err)
	}
	return decodeDrawn(&out), nil
}

// SendPresence tells the host at address that this host reaches it.
func (m *Messenger) SendPresence(ctx context.Context, address string, p allotter.Presence) error {
	return asEnded(m.invoke(ctx, address, methodSendPresence, encodePresence(p), &emptyDocument{}))
}

// asEnded marks the error of a message to a host that refuses connections.
func asEnded(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", allotter.ErrEnded, err)
	}
	return err
}
