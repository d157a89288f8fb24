package messenger

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/replicator"
)

// recordsDocument holds the software versions at which streams began.
type recordsDocument struct {
	Groups []recordGroupDocument `cbor:"2,keyasint"`
}

// recordGroupDocument holds the records of streams that began at one version and one host.
type recordGroupDocument struct {
	Service string  `cbor:"1,keyasint"`
	Version string  `cbor:"2,keyasint,omitempty"`
	Origin  uint64  `cbor:"3,keyasint,omitempty"`
	Keys    []byte  `cbor:"4,keyasint"` // replicator.KeySize bytes each
	AgesMS  []int64 `cbor:"5,keyasint"` // by key
}

type recordDocument struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
}

// statusRequestDocument asks what has been sent to a process.
type statusRequestDocument struct {
	Process uint64 `cbor:"1,keyasint"`
}

type statusDocument struct {
	Sent     bool             `cbor:"1,keyasint,omitempty"`
	Final    bool             `cbor:"2,keyasint,omitempty"`
	SpansMS  map[string]int64 `cbor:"3,keyasint,omitempty"` // by service
	Members  uint64           `cbor:"4,keyasint,omitempty"`
	Era      uint64           `cbor:"5,keyasint,omitempty"` // of the store, in which it has all records
	CopiesMS map[uint64]int64 `cbor:"6,keyasint,omitempty"` // by era, age of the copy that began it
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

// recordGroup is what the records of one group have in common.
type recordGroup struct {
	service string
	version string
	origin  uint64
}

func encodeRecords(records []replicator.Record) (*recordsDocument, error) {
	doc := &recordsDocument{}
	indexes := make(map[recordGroup]int)
	for _, r := range records {
		key, err := hex.DecodeString(r.Key())
		if err != nil || len(key) != replicator.KeySize {
			return nil, fmt.Errorf("key %q of a record is not %d bytes in hexadecimal digits", r.Key(), replicator.KeySize)
		}
		group := recordGroup{service: r.Service(), version: r.Version(), origin: r.Origin()}
		i, known := indexes[group]
		if !known {
			i = len(doc.Groups)
			indexes[group] = i
			doc.Groups = append(doc.Groups, recordGroupDocument{Service: r.Service(), Version: r.Version(), Origin: r.Origin()})
		}
		doc.Groups[i].Keys = append(doc.Groups[i].Keys, key...)
		doc.Groups[i].AgesMS = append(doc.Groups[i].AgesMS, r.Age().Milliseconds())
	}
	return doc, nil
}

func decodeRecords(doc *recordsDocument) ([]replicator.Record, error) {
	var list []replicator.Record
	for _, g := range doc.Groups {
		if len(g.Keys) != len(g.AgesMS)*replicator.KeySize {
			return nil, fmt.Errorf("%d bytes of keys for %d records", len(g.Keys), len(g.AgesMS))
		}
		for i, age := range g.AgesMS {
			key := hex.EncodeToString(g.Keys[i*replicator.KeySize : (i+1)*replicator.KeySize])
			record := replicator.DecodedRecord(g.Service, key, g.Version)
			list = append(list, record.From(g.Origin).Aged(time.Duration(age)*time.Millisecond))
		}
	}
	return list, nil
}

func (s *service) replicate(_ context.Context, in *recordsDocument) (*emptyDocument, error) {
	list, err := decodeRecords(in)
	if err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	s.handler.KeepRecords(list)
	return &emptyDocument{}, nil
}

func (s *service) find(_ context.Context, in *recordDocument) (*recordAnswerDocument, error) {
	return encodeRecordAnswer(s.handler.FindRecord(in.Service, in.Key)), nil
}

func (s *service) status(_ context.Context, in *statusRequestDocument) (*statusDocument, error) {
	status := s.handler.RecordStatus(in.Process)
	return &statusDocument{
		Sent: status.Sent(), Final: status.Final(), SpansMS: milliseconds(status.Spans()),
		Members: status.Members(), Era: status.Era(), CopiesMS: milliseconds(status.Copies()),
	}, nil
}

func milliseconds[K comparable](durations map[K]time.Duration) map[K]int64 {
	result := make(map[K]int64, len(durations))
	for key, d := range durations {
		result[key] = d.Milliseconds()
	}
	return result
}

func durations[K comparable](milliseconds map[K]int64) map[K]time.Duration {
	result := make(map[K]time.Duration, len(milliseconds))
	for key, ms := range milliseconds {
		result[key] = time.Duration(ms) * time.Millisecond
	}
	return result
}

// Replicate makes the host at address keep records of streams.
func (m *Messenger) Replicate(ctx context.Context, address string, records []replicator.Record) error {
	in, err := encodeRecords(records)
	if err != nil {
		return fmt.Errorf("encode records: %w", err)
	}
	return m.invoke(ctx, address, methodReplicate, in, &emptyDocument{})
}

// Status asks the host at address what it has sent to a process of this host.
func (m *Messenger) Status(ctx context.Context, address string, process uint64) (replicator.Status, error) {
	var out statusDocument
	if err := m.invoke(ctx, address, methodStatus, &statusRequestDocument{Process: process}, &out); err != nil {
		return replicator.Status{}, err
	}
	restatement := pinner.NewRestatement(out.Era, durations(out.SpansMS), durations(out.CopiesMS))
	return replicator.NewStatus(out.Sent, out.Final, out.Members, restatement), nil
}

// Find asks the host at address for the record of a stream of a service.
func (m *Messenger) Find(ctx context.Context, address, service, key string) (pinner.Answer, error) {
	var out recordAnswerDocument
	if err := m.invoke(ctx, address, methodFind, &recordDocument{Service: service, Key: key}, &out); err != nil {
		return nil, err
	}
	return decodeRecordAnswer(&out), nil
}
