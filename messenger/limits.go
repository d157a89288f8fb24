package messenger

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/permitter"
	"github.com/dragonflyford/dragonflyford/tracker"
)

type limitDocument struct {
	Endpoint  string  `cbor:"1,keyasint,omitempty"`
	Born      int64   `cbor:"2,keyasint,omitempty"`
	Rate      float64 `cbor:"3,keyasint,omitempty"` // requests a second
	None      bool    `cbor:"4,keyasint,omitempty"` // the endpoint accepts any rate
	AgeUS     int64   `cbor:"5,keyasint,omitempty"` // time since the limit was named
	MaxWaitUS int64   `cbor:"6,keyasint,omitempty"` // of a request for a turn
}

func encodeLimit(l tracker.Limit) limitDocument {
	rate, limited := l.Rate()
	return limitDocument{Rate: rate, None: !limited, AgeUS: time.Since(l.At()).Microseconds()}
}

func encodeLimitReport(r permitter.Report) limitDocument {
	d := encodeLimit(r.Limit())
	d.Endpoint, d.Born = r.Endpoint(), r.Born()
	return d
}

func decodeLimit(d limitDocument) tracker.Limit {
	at := time.Now().Add(-max(microseconds(d.AgeUS), 0))
	if d.None {
		return tracker.NewNoLimit(at)
	}
	return tracker.NewLimit(d.Rate, at)
}

func decodeLimitReport(d limitDocument) permitter.Report {
	return permitter.NewReport(d.Endpoint, d.Born, decodeLimit(d))
}

type limitsDocument struct {
	Limits []limitDocument `cbor:"1,keyasint"`
}

type turnDocument struct {
	Granted bool          `cbor:"1,keyasint,omitempty"`
	WaitUS  int64         `cbor:"2,keyasint,omitempty"`
	Limit   limitDocument `cbor:"3,keyasint"`
}

func encodeTurn(r permitter.Response) *turnDocument {
	d := &turnDocument{Limit: encodeLimit(r.Limit())}
	switch v := r.Verdict().(type) {
	case limiter.Granted:
		d.Granted, d.WaitUS = true, v.Wait().Microseconds()
	case limiter.Declined:
		d.WaitUS = v.Wait().Microseconds()
	}
	return d
}

func decodeTurn(d *turnDocument) permitter.Response {
	if d.Granted {
		return permitter.NewResponse(limiter.NewGranted(microseconds(d.WaitUS)), decodeLimit(d.Limit))
	}
	return permitter.NewResponse(limiter.NewDeclined(microseconds(d.WaitUS)), decodeLimit(d.Limit))
}

func (s *service) learnLimits(_ context.Context, in *limitsDocument) (*emptyDocument, error) {
	list := make([]permitter.Report, 0, len(in.Limits))
	for _, d := range in.Limits {
		list = append(list, decodeLimitReport(d))
	}
	s.handler.LearnLimits(list)
	return &emptyDocument{}, nil
}

func (s *service) admit(_ context.Context, in *limitDocument) (*turnDocument, error) {
	return encodeTurn(s.handler.Admit(permitter.NewRequest(decodeLimitReport(*in), microseconds(in.MaxWaitUS)))), nil
}

// SendLimits sends news of limits of endpoints to the host at address.
func (m *Messenger) SendLimits(ctx context.Context, address string, list []permitter.Report) error {
	in := &limitsDocument{}
	for _, r := range list {
		in.Limits = append(in.Limits, encodeLimitReport(r))
	}
	return m.invoke(ctx, address, methodSendLimits, in, &emptyDocument{})
}

// Admit requests a turn at an endpoint from the host at address.
func (m *Messenger) Admit(ctx context.Context, address string, request permitter.Request) (permitter.Response, error) {
	in := encodeLimitReport(request.Report)
	in.MaxWaitUS = request.MaxWait().Microseconds()
	var out turnDocument
	if err := m.invoke(ctx, address, methodAdmit, &in, &out); err != nil {
		return permitter.Response{}, err
	}
	return decodeTurn(&out), nil
}
