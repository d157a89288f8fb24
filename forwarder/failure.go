package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/storer"
)

// sentinels are the errors that errors.Is matches on the other side of a call.
// The index is the bit number on the wire, so entries may only be appended.
var sentinels = [...]error{
	connector.ErrNotResident,
	connector.ErrRefused,
	connector.ErrFenced,
	connector.ErrBroken,
	connector.ErrLoadFailed,
	storer.ErrNotFound,
	storer.ErrConflict,
	storer.ErrUnavailable,
	storer.ErrUncertain,
	io.EOF,
	io.ErrUnexpectedEOF,
	context.Canceled,
	context.DeadlineExceeded,
}

// connectionLost returns the error of a call whose connection broke. The peer may
// still be executing the call.
func connectionLost(cause error) error {
	return fmt.Errorf("%w: %w: %w", connector.ErrBroken, connector.ErrOwnerLost, cause)
}

// failureDocument is the wire form of an error. Text is empty when the error is
// the fault itself rather than an error that wraps it.
type failureDocument struct {
	Text      cbor.ByteString `cbor:"1,keyasint,omitempty"`
	Sentinels uint32          `cbor:"2,keyasint,omitempty"` // bit i is set if the error matches sentinels[i]
	Fault     *faultDocument  `cbor:"3,keyasint,omitempty"`
}

// faultDocument is the wire form of a classifier.Fault.
type faultDocument struct {
	Type    uint8           `cbor:"1,keyasint"`
	Detail  cbor.ByteString `cbor:"2,keyasint,omitempty"`
	Cause   cbor.ByteString `cbor:"3,keyasint,omitempty"`
	Unknown bool            `cbor:"4,keyasint,omitempty"` // outcome is Unknown; otherwise NotRun
	RetryNS int64           `cbor:"5,keyasint,omitempty"`
}

// remoteError is an error that a peer returned.
type remoteError struct {
	text   string
	causes []error
}

func (e *remoteError) Error() string   { return e.text }
func (e *remoteError) Unwrap() []error { return e.causes }

// maxText is the maximum size of each text of an error in bytes. Errors may quote
// input of any size, and must still fit into a message.
const maxText = 4 << 10

func truncate(s string) cbor.ByteString {
	return cbor.ByteString(strings.ToValidUTF8(s[:min(len(s), maxText)], "?"))
}

// encodeFailure returns the wire form of an error, or nil if err is nil.
func encodeFailure(err error) *failureDocument {
	if err == nil {
		return nil
	}
	d := &failureDocument{Text: truncate(err.Error())}
	for i, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			d.Sentinels |= 1 << i
		}
	}
	var f classifier.Fault
	if !errors.As(err, &f) {
		return d
	}
	d.Fault = encodeFault(f)
	if f.Error() == err.Error() {
		d.Text = ""
	}
	return d
}

func encodeFault(f classifier.Fault) *faultDocument {
	_, unknown := f.Outcome().(classifier.Unknown)
	d := &faultDocument{
		Type:    faultType(f),
		Detail:  truncate(f.Detail()),
		Unknown: unknown,
		RetryNS: int64(f.RetryAfter()),
	}
	if cause := f.Unwrap(); cause != nil {
		d.Cause = truncate(cause.Error())
	}
	return d
}

// The numbers of fault types on the wire.
const (
	faultInvalid = iota + 1
	faultTooLarge
	faultUnauthorized
	faultNotOffered
	faultKeyMissing
	faultKeyReused
	faultInProgress
	faultOverloaded
	faultUnavailable
	faultWithheld
	faultExpired
	faultCanceled
	faultStopped
	faultUncertain
)

func faultType(f classifier.Fault) uint8 {
	switch f.(type) {
	case *classifier.Invalid:
		return faultInvalid
	case *classifier.TooLarge:
		return faultTooLarge
	case *classifier.Unauthorized:
		return faultUnauthorized
	case *classifier.NotOffered:
		return faultNotOffered
	case *classifier.KeyMissing:
		return faultKeyMissing
	case *classifier.KeyReused:
		return faultKeyReused
	case *classifier.InProgress:
		return faultInProgress
	case *classifier.Overloaded:
		return faultOverloaded
	case *classifier.Unavailable:
		return faultUnavailable
	case *classifier.Withheld:
		return faultWithheld
	case *classifier.Expired:
		return faultExpired
	case *classifier.Canceled:
		return faultCanceled
	case *classifier.Stopped:
		return faultStopped
	default:
		return faultUncertain
	}
}

// decodeFailure returns the error that d describes, or nil if d is nil.
func decodeFailure(d *failureDocument) error {
	if d == nil {
		return nil
	}
	var causes []error
	for i, sentinel := range sentinels {
		if d.Sentinels&(1<<i) == 0 {
			continue
		}
		if d.Fault == nil && sentinel.Error() == string(d.Text) {
			return sentinel
		}
		causes = append(causes, sentinel)
	}
	if d.Fault == nil {
		return &remoteError{text: string(d.Text), causes: causes}
	}
	fault := decodeFault(d.Fault, causes)
	if d.Text == "" {
		return fault
	}
	return &remoteError{text: string(d.Text), causes: []error{fault}}
}

// decodeFault returns the fault that d describes. An unknown type, which a newer
// release may send, becomes Uncertain, because that makes no statement about
// whether the work ran.
func decodeFault(d *faultDocument, causes []error) classifier.Fault {
	opts := []classifier.Option{classifier.RetryAfter(max(time.Duration(d.RetryNS), 0))}
	if d.Unknown {
		opts = append(opts, classifier.MayHaveRun())
	}
	if d.Cause != "" || len(causes) > 0 {
		opts = append(opts, classifier.Cause(&remoteError{text: string(d.Cause), causes: causes}))
	}
	detail := string(d.Detail)
	switch d.Type {
	case faultInvalid:
		return classifier.NewInvalid(detail, opts...)
	case faultTooLarge:
		return classifier.NewTooLarge(detail, opts...)
	case faultUnauthorized:
		return classifier.NewUnauthorized(detail, opts...)
	case faultNotOffered:
		return classifier.NewNotOffered(detail, opts...)
	case faultKeyMissing:
		return classifier.NewKeyMissing(detail, opts...)
	case faultKeyReused:
		return classifier.NewKeyReused(detail, opts...)
	case faultInProgress:
		return classifier.NewInProgress(detail, opts...)
	case faultOverloaded:
		return classifier.NewOverloaded(detail, opts...)
	case faultUnavailable:
		return classifier.NewUnavailable(detail, opts...)
	case faultWithheld:
		return classifier.NewWithheld(detail, opts...)
	case faultExpired:
		return classifier.NewExpired(detail, opts...)
	case faultCanceled:
		return classifier.NewCanceled(detail, opts...)
	case faultStopped:
		return classifier.NewStopped(detail, opts...)
	default:
		return classifier.NewUncertain(detail, opts...)
	}
}
