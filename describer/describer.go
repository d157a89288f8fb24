package describer

import (
	"context"

	"storj.io/drpc"
)

// Method is one method of a service.
type Method struct {
	name     string
	receiver drpc.Receiver
	function any // method expression, from which drpcmux takes the message type
}

// Unary returns a method with one answer. Call is a method expression.
func Unary[S, In, Out any](name string, call func(*S, context.Context, *In) (*Out, error)) Method {
	receiver := func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return call(srv.(*S), ctx, in.(*In))
	}
	return Method{name: name, receiver: receiver, function: call}
}

// Stream returns a method with many answers. Call is a method expression.
func Stream[S, In any](name string, call func(*S, *In, drpc.Stream) error) Method {
	receiver := func(srv any, _ context.Context, in, out any) (drpc.Message, error) {
		return nil, call(srv.(*S), in.(*In), out.(drpc.Stream))
	}
	return Method{name: name, receiver: receiver, function: call}
}

// Description lists methods for drpcmux.
type Description struct {
	encoding drpc.Encoding
	methods  []Method
}

var _ drpc.Description = Description{}

// New returns a description of methods whose messages have an encoding.
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
