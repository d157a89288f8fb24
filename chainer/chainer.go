package chainer

import "context"

// Filter is one stage of a pipeline. Apply must be safe for concurrent use.
type Filter[I, O any] interface {
	Apply(ctx context.Context, in I) (O, error)
}

// Func is an adapter to allow the use of ordinary functions as filters.
type Func[I, O any] func(ctx context.Context, in I) (O, error)

// Apply calls f.
func (f Func[I, O]) Apply(ctx context.Context, in I) (O, error) {
	return f(ctx, in)
}

// joined is a Filter that runs two filters in sequence.
type joined[A, B, C any] struct {
	first  Filter[A, B]
	second Filter[B, C]
}

// Join returns a filter that passes the output of first to second. An error of
// either stage is returned unchanged, because each stage adds its own context.
func Join[A, B, C any](first Filter[A, B], second Filter[B, C]) Filter[A, C] {
	return joined[A, B, C]{first: first, second: second}
}

func (j joined[A, B, C]) Apply(ctx context.Context, in A) (C, error) {
	mid, err := j.first.Apply(ctx, in)
	if err != nil {
		var zero C
		return zero, err
	}
	return j.second.Apply(ctx, mid)
}
