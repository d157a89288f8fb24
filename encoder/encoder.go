package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Limits of one encoded value.
const (
	// MaxSize bounds the size of an encoded value in bytes. One of the 256 parts
	// of a bundle with 29,000 adapters is far smaller.
	MaxSize = 4 << 20
	// MaxDepth bounds nesting; the deepest message has 5 levels.
	MaxDepth = 16
	// MaxElements bounds the entries of one array or map.
	MaxElements = 1 << 16
)

// ErrTooLarge reports an encoded value that exceeds MaxSize.
var ErrTooLarge = eris.New("encoded value is too large")

// The modes are built from constant options. An error is a bug in this file and
// makes every test fail.
var (
	encMode = mustMode(cbor.CoreDetEncOptions().EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  MaxDepth,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
	}.DecMode())
)

func mustMode[M any](m M, err error) M {
	if err != nil {
		panic(fmt.Sprintf("encoder: invalid CBOR options: %v", err))
	}
	return m
}

// Marshal encodes v. The same value always has the same encoding.
func Marshal[T any](v T) ([]byte, error) { return encode(v) }

// Unmarshal decodes exactly one value.
func Unmarshal[T any](data []byte) (T, error) {
	var v T
	if err := decode(data, &v); err != nil {
		var zero T
		return zero, err
	}
	return v, nil
}

func encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	if len(data) > MaxSize {
		return nil, fmt.Errorf("encode %T of %d bytes: %w", v, len(data), ErrTooLarge)
	}
	return data, nil
}

func decode(data []byte, v any) error {
	if len(data) > MaxSize {
		return fmt.Errorf("decode %T of %d bytes: %w", v, len(data), ErrTooLarge)
	}
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
