package breaker

import (
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// news is one mark on its way between nodes. Ages travel instead of times,
// because hosts' clocks differ.
type news struct {
	fingerprint receiver.Fingerprint
	id          string // "" while the crash is not confirmed
	engine      string
	age         time.Duration
}

// newsMessage is the encoded form of news.
type newsMessage struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	ID          string `cbor:"2,keyasint,omitempty"`
	Engine      string `cbor:"3,keyasint"`
	AgeMS       int64  `cbor:"4,keyasint"`
}

type newsList struct {
	News []newsMessage `cbor:"1,keyasint"`
}

func encodeNews(list []news) ([]byte, error) {
	var l newsList
	for _, n := range list {
		l.News = append(l.News, newsMessage{
			Fingerprint: n.fingerprint[:],
			ID:          n.id,
			Engine:      n.engine,
			AgeMS:       n.age.Milliseconds(),
		})
	}
	b, err := encoder.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode crash marks: %w", err)
	}
	return b, nil
}

func decodeNews(b []byte) ([]news, error) {
	l, err := encoder.Unmarshal[newsList](b)
	if err != nil {
		return nil, fmt.Errorf("decode crash marks: %w", err)
	}
	list := make([]news, 0, len(l.News))
	for _, m := range l.News {
		n := news{id: m.ID, engine: m.Engine, age: time.Duration(m.AgeMS) * time.Millisecond}
		if len(m.Fingerprint) != len(n.fingerprint) || m.AgeMS < 0 {
			return nil, fmt.Errorf("crash mark %q of engine %q is malformed", m.ID, m.Engine)
		}
		copy(n.fingerprint[:], m.Fingerprint)
		list = append(list, n)
	}
	return list, nil
}
