package describer

import (
	"context"

	"storj.io/drpc"
)

// Method is a method of a drpc service.
type Method struct {
	name     string
	receiver drpc.Receiver
	function any // method expression, from which drpcmux derives the message types
}

// Unary returns a method with one response. The argument call is a method
// expression.
func Unary[S, In, Out any](name string, call func(*S, context.Context, *In) (*Out, error)) Method {
	receiver := func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(*S), ctx, in.(*In))
	}
	return Method{name: name, receiver: receiver, function: call}
}

// Stream returns a method with a stream of responses. The argument call is a
// method expression.
func Stream[S, In any](name string, call func(*S, *In, drpc.Stream) error) Method {
	receiver := func(srv any, _ context.Context, in, out any) (drpc.Message, error) {
		return nil, call(srv.(*S), in.(*In), out.(drpc.Stream))
	}
	return Method{name: name, receiver: receiver, function: call}
}

// Description is a list of methods for drpcmux.
type Description struct {
	encoding drpc.Encoding
	methods  []Method
}

var _ drpc.Description = Description{}

// New returns a description of methods that encode their messages with encoding.
func New(encoding drpc.Encoding, methods ...Method) Description {
	return Description{encoding: encoding, methods: methods}
}

// NumMethods implements drpc.Description.
func (d Description) NumMethods() int { return len(d.methods) }

// Method implements drpc.Description.
func (d Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d.methods) {
		return "", nil, nil, nil, false
	}
	m := d.methods[n]
	return m.name, d.encoding, m.receiver, m.function, true
}
