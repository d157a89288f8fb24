package watcher

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// Latest is what a node knows of bundles.
type Latest struct {
	accepted bundler.Record
	next     bundler.Record
	age      time.Duration
	contact  bool
}

// NewLatest returns what a node knows. Records of epoch zero stand for none; age
// is the time since the node's last contact with the table, directly or through
// other nodes, and contact is false if it never had any.
func NewLatest(accepted, next bundler.Record, age time.Duration, contact bool) Latest {
	return Latest{accepted: accepted, next: next, age: age, contact: contact}
}

// Accepted returns the newest accepted bundle.
func (l Latest) Accepted() bundler.Record { return l.accepted }

// Next returns the newest bundle that was prepared.
func (l Latest) Next() bundler.Record { return l.next }

// Age returns the time since the node's last contact.
func (l Latest) Age() (time.Duration, bool) { return l.age, l.contact }

type latestMessage struct {
	Accepted []byte        `cbor:"1,keyasint,omitempty"`
	Next     []byte        `cbor:"2,keyasint,omitempty"`
	Age      time.Duration `cbor:"3,keyasint"`
	Contact  bool          `cbor:"4,keyasint"`
}

// Encode returns the form in which peers exchange it.
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
		return nil, fmt.Errorf("encode latest epochs: %w", err)
	}
	return b, nil
}

// DecodeLatest reads the encoded form.
func DecodeLatest(b []byte) (Latest, error) {
	var msg latestMessage
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return Latest{}, fmt.Errorf("decode latest epochs: %w", err)
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

// Peers are other nodes.
type Peers interface {
	// Latest asks one or a few peers and returns the answers that came. It should
	// prefer other peers than the last time.
	Latest(ctx context.Context) ([]Latest, error)
	// Part returns content by hash from a peer that has it, or storer.ErrNotFound.
	// The watcher checks the hash; after content that does not match it asks
	// again, so successive calls should ask different peers.
	Part(ctx context.Context, h bundler.Hash) ([]byte, error)
}
