package describer_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/dragonflyford/dragonflyford/describer"
	"github.com/dragonflyford/dragonflyford/encoder"
)

type service struct{ received string }

func (s *service) echo(_ context.Context, in *string) (*string, error) {
	s.received = *in
	return in, nil
}

func (*service) watch(*string, drpc.Stream) error { return nil }

// Guards against methods that are missing or are called with the wrong service or
// message, and against an index out of range that does not end the list.
func TestDescription(t *testing.T) {
	is := is.New(t)
	d := describer.New(encoder.DRPC{}, describer.Unary("/s/Echo", (*service).echo), describer.Stream("/s/Watch", (*service).watch))
	is.Equal(d.NumMethods(), 2)
	name, _, receive, _, ok := d.Method(0)
	is.True(ok)
	is.Equal(name, "/s/Echo")
	s, in := &service{}, "hello"
	out, err := receive(s, t.Context(), &in, nil)
	is.NoErr(err)
	is.Equal(*out.(*string), "hello")
	is.Equal(s.received, "hello")
	name, _, _, _, ok = d.Method(1)
	is.True(ok)
	is.Equal(name, "/s/Watch")
	for _, n := range []int{-1, 2} {
		_, _, _, _, ok = d.Method(n)
		is.True(!ok)
	}
}
