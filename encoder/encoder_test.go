package encoder_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/encoder"
)

type sample struct {
	Names  map[string]int `cbor:"1,keyasint,omitempty"`
	Body   []byte         `cbor:"2,keyasint,omitempty"`
	Nested *sample        `cbor:"3,keyasint,omitempty"`
}

// Guards against two nodes writing different bytes for the same value.
func TestDeterministic(t *testing.T) {
	is := is.New(t)
	v := sample{Names: map[string]int{"a": 1, "b": 2, "c": 3, "dd": 4}}
	first, err := encoder.Marshal(v)
	is.NoErr(err)
	for range 50 {
		again, err := encoder.Marshal(v)
		is.NoErr(err)
		is.True(bytes.Equal(first, again))
	}
	back, err := encoder.Unmarshal[sample](first)
	is.NoErr(err)
	is.Equal(back, v)
}

// Guards against input that takes unbounded memory or stack, and against input
// that two decoders read differently.
func TestRefused(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"trailing byte", []byte{0xa0, 0x00}},
		{"duplicate key", []byte{0xa2, 0x02, 0x41, 0x01, 0x02, 0x41, 0x02}},
		{"indefinite length", []byte{0xbf, 0xff}},
		{"tag", []byte{0xc1, 0xa0}},
		{"deep nesting", append(bytes.Repeat([]byte{0xa1, 0x03}, 40), 0xa0)},
		{"huge map", []byte{0xba, 0xff, 0xff, 0xff, 0xff}},
		{"too large", make([]byte, encoder.MaxSize+1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := encoder.Unmarshal[sample](tt.data)
			is.True(err != nil)
		})
	}
}

// Guards against sending a value that the receiver would refuse.
func TestTooLargeToSend(t *testing.T) {
	is := is.New(t)
	_, err := encoder.DRPC{}.Marshal(&sample{Body: make([]byte, encoder.MaxSize)})
	is.True(errors.Is(err, encoder.ErrTooLarge))
}

// Guards against a new field of a later release that makes decoding fail.
func TestUnknownField(t *testing.T) {
	is := is.New(t)
	data, err := encoder.Marshal(map[int]string{2: "", 9: "later"})
	is.NoErr(err)
	type narrow struct {
		Body string `cbor:"2,keyasint"`
	}
	_, err = encoder.Unmarshal[narrow](data)
	is.NoErr(err)
}

// Guards against a decoder that panics, or that accepts a value which cannot be
// encoded again.
func FuzzUnmarshal(f *testing.F) {
	seed, err := encoder.Marshal(sample{Names: map[string]int{"a": 1}, Nested: &sample{Body: []byte("x")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := encoder.Unmarshal[sample](data)
		if err != nil {
			return
		}
		if _, err := encoder.Marshal(v); err != nil {
			t.Fatal(err)
		}
	})
}
