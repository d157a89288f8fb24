package messenger

import (
	"context"

	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
)

type evidenceDocument struct {
	Marks []markDocument `cbor:"1,keyasint"`
	Begun []string       `cbor:"2,keyasint,omitempty"`
}

type markDocument struct {
	Call     uint64   `cbor:"1,keyasint"`
	Endpoint string   `cbor:"2,keyasint"`
	Prompt   []string `cbor:"3,keyasint,omitempty"` // shared parts of the prompt
	AgeUS    int64    `cbor:"4,keyasint,omitempty"` // time since the crash
}

func encodeEvidence(list []screener.Evidence) *evidenceDocument {
	d := &evidenceDocument{}
	for _, e := range list {
		switch e := e.(type) {
		case screener.Mark:
			doc := markDocument{Call: uint64(e.Call()), Endpoint: e.Endpoint(), AgeUS: e.Age().Microseconds()}
			for _, part := range e.Prompt() {
				doc.Prompt = append(doc.Prompt, string(part))
			}
			d.Marks = append(d.Marks, doc)
		case screener.Begun:
			d.Begun = append(d.Begun, string(e.Part()))
		}
	}
	return d
}

func decodeEvidence(d *evidenceDocument) []screener.Evidence {
	list := make([]screener.Evidence, 0, len(d.Marks)+len(d.Begun))
	for _, m := range d.Marks {
		prompt := make([]router.PromptPart, 0, len(m.Prompt))
		for _, part := range m.Prompt {
			prompt = append(prompt, router.PromptPart(part))
		}
		list = append(list, screener.NewMark(screener.Fingerprint(m.Call), m.Endpoint, prompt...).Aged(max(microseconds(m.AgeUS), 0)))
	}
	for _, part := range d.Begun {
		list = append(list, screener.NewBegun(router.PromptPart(part)))
	}
	return list
}

func (s *service) learn(_ context.Context, in *evidenceDocument) (*emptyDocument, error) {
	s.handler.Learn(decodeEvidence(in))
	return &emptyDocument{}, nil
}

// SendEvidence sends evidence of calls that crash endpoints to the host at address.
func (m *Messenger) SendEvidence(ctx context.Context, address string, list []screener.Evidence) error {
	return m.invoke(ctx, address, methodSendEvidence, encodeEvidence(list), &emptyDocument{})
}
