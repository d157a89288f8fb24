package messenger

import (
	"context"

	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/procurer"
)

type speedDocument struct {
	Engine   string  `cbor:"1,keyasint"`
	Slowdown float64 `cbor:"2,keyasint"` // duration of work as a multiple of the usual one
}

// ReportSpeed reports the speed of an engine to its owner, the host at an address.
func (m *Messenger) ReportSpeed(ctx context.Context, address string, r procurer.SpeedReport) error {
	return m.invoke(ctx, address, methodReportSpeed, &speedDocument{Engine: r.Engine(), Slowdown: r.Slowdown().Factor()}, &emptyDocument{})
}

func (s *service) learnSpeed(_ context.Context, in *speedDocument) (*emptyDocument, error) {
	s.handler.LearnSpeed(procurer.NewSpeedReport(in.Engine, estimator.NewSlowdown(in.Slowdown)))
	return &emptyDocument{}, nil
}
