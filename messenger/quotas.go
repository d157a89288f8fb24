package messenger

import (
	"context"

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
	Fallback  bool    `cbor:"8,keyasint,omitempty"`
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
	Fallback   bool      `cbor:"4,keyasint,omitempty"`
}

func encodeDraw(r allotter.Request) *drawDocument {
	return &drawDocument{
		From: r.From(), Workspace: r.Workspace(), Version: r.Terms().Version(), Rate: r.Terms().Rate(), Burst: r.Terms().Burst(),
		Cost: r.Cost(), Returned: r.Returned(), Fallback: r.Fallback(),
	}
}

func decodeDraw(d *drawDocument) allotter.Request {
	r := allotter.NewRequest(d.From, d.Workspace, accountant.NewTerms(d.Version, d.Rate, d.Burst), d.Cost).Returning(d.Returned)
	if d.Fallback {
		return r.AsFallback()
	}
	return r
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
	d := &presenceDocument{From: p.From(), Fallback: p.Fallback()}
	for i, q := range p.Quotas() {
		d.Workspaces = append(d.Workspaces, q.Workspace())
		if q.Returned() > 0 && d.Returned == nil {
			d.Returned = make([]float64, len(p.Quotas()))
		}
		if q.Returned() > 0 {
			d.Returned[i] = q.Returned()
		}
	}
	return d
}

func decodePresence(d *presenceDocument) allotter.Presence {
	list := make([]allotter.Quota, 0, len(d.Workspaces))
	for i, workspace := range d.Workspaces {
		returned := 0.0
		if i < len(d.Returned) {
			returned = d.Returned[i]
		}
		list = append(list, allotter.NewQuota(workspace, returned))
	}
	return allotter.NewPresence(d.From, list, d.Fallback)
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
		return nil, err
	}
	return decodeDrawn(&out), nil
}

// SendPresence tells the host at address that this host reaches it.
func (m *Messenger) SendPresence(ctx context.Context, address string, p allotter.Presence) error {
	return m.invoke(ctx, address, methodSendPresence, encodePresence(p), &emptyDocument{})
}
