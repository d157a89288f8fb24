package watcher

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Latest holds the newest bundle records that a node has read.
type Latest struct {
	accepted bundler.Record
	next     bundler.Record
	age      time.Duration
	contact  bool
}

// NewLatest returns the newest records of a node. A record with epoch zero stands for
// none. Age is the time since the node's last contact with the table, directly or
// through other nodes; contact is false if it never had any.
func NewLatest(accepted, next bundler.Record, age time.Duration, contact bool) Latest {
	return Latest{accepted: accepted, next: next, age: age, contact: contact}
}

// Accepted returns the record of the newest accepted bundle.
func (l Latest) Accepted() bundler.Record { return l.accepted }

// Next returns the record of the newest prepared bundle.
func (l Latest) Next() bundler.Record { return l.next }

// Age returns the time since the node's last contact with the table, or false if it
// never had any.
func (l Latest) Age() (time.Duration, bool) { return l.age, l.contact }

type latestMessage struct {
	Accepted []byte        `cbor:"1,keyasint,omitempty"`
	Next     []byte        `cbor:"2,keyasint,omitempty"`
	Age      time.Duration `cbor:"3,keyasint"`
	Contact  bool          `cbor:"4,keyasint"`
}

// Encode returns the encoding that peers exchange.
func (l Latest) Encode() ([]byte, error) {
	accepted, err := l.accepted.Encode()
	if err != nil {
		return nil, err
	}
	next, err := l.next.Encode()
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(latestMessage{Accepted: accepted, Next: next, Age: l.age, Contact: l.contact})
	if err != nil {
		return nil, fmt.Errorf("encode latest records: %w", err)
	}
	return b, nil
}

// DecodeLatest decodes the result of Encode.
func DecodeLatest(b []byte) (Latest, error) {
	var msg latestMessage
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return Latest{}, fmt.Errorf("decode latest records: %w", err)
	}
	accepted, err := bundler.DecodeRecord(msg.Accepted)
	if err != nil {
		return Latest{}, err
	}
	next, err := bundler.DecodeRecord(msg.Next)
	if err != nil {
		return Latest{}, err
	}
	return NewLatest(accepted, next, msg.Age, msg.Contact), nil
}

// Peers is a client of the other nodes.
type Peers interface {
	// Latest queries one or a few peers and returns the responses received. It
	// should prefer peers that the previous call did not query.
	Latest(ctx context.Context) ([]Latest, error)
	// Part returns content by hash from a peer that has it, or storer.ErrNotFound.
	// The watcher verifies the hash and calls Part again if the content does not
	// match, so successive calls should query different peers.
	Part(ctx context.Context, h bundler.Hash) ([]byte, error)
}
