package messenger

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/replicator"
)

// recordsDocument holds the software versions at which streams began.
type recordsDocument struct {
	Records []recordDocument `cbor:"1,keyasint"`
}

type recordDocument struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
}

// recordAnswerDocument is what a host knows of a record. It is found if it has a version.
type recordAnswerDocument struct {
	Version  string `cbor:"1,keyasint,omitempty"`
	Complete bool   `cbor:"2,keyasint,omitempty"` // no record of the span before now is missing
	SpanMS   int64  `cbor:"3,keyasint,omitempty"`
}

func encodeRecordAnswer(a pinner.Answer) *recordAnswerDocument {
	switch a := a.(type) {
	case pinner.Found:
		return &recordAnswerDocument{Version: a.Version()}
	case pinner.Absent:
		if c, ok := a.Coverage().(pinner.Complete); ok {
			return &recordAnswerDocument{Complete: true, SpanMS: c.Span().Milliseconds()}
		}
	}
	return &recordAnswerDocument{}
}

func decodeRecordAnswer(d *recordAnswerDocument) pinner.Answer {
	switch {
	case d.Version != "":
		return pinner.NewFound(d.Version)
	case d.Complete:
		return pinner.NewAbsent(pinner.NewComplete(time.Duration(d.SpanMS) * time.Millisecond))
	}
	return pinner.NewAbsent(pinner.Incomplete{})
}

func (s *service) replicate(_ context.Context, in *recordsDocument) (*emptyDocument, error) {
	list := make([]replicator.Record, 0, len(in.Records))
	for _, d := range in.Records {
		list = append(list, replicator.DecodedRecord(d.Service, d.Key, d.Version))
	}
	s.handler.KeepRecords(list)
	return &emptyDocument{}, nil
}

func (s *service) find(_ context.Context, in *recordDocument) (*recordAnswerDocument, error) {
	return encodeRecordAnswer(s.handler.FindRecord(in.Service, in.Key)), nil
}

// Replicate makes the host at address keep records of streams.
func (m *Messenger) Replicate(ctx context.Context, address string, records []replicator.Record) error {
	in := &recordsDocument{}
	for _, r := range records {
		in.Records = append(in.Records, recordDocument{Service: r.Service(), Key: r.Key(), Version: r.Version()})
	}
	return m.invoke(ctx, address, methodReplicate, in, &emptyDocument{})
}

// Find asks the host at address for the record of a stream of a service.
func (m *Messenger) Find(ctx context.Context, address, service, key string) (pinner.Answer, error) {
	var out recordAnswerDocument
	if err := m.invoke(ctx, address, methodFind, &recordDocument{Service: service, Key: key}, &out); err != nil {
		return nil, err
	}
	return decodeRecordAnswer(&out), nil
}
