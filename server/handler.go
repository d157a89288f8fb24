package server

import (
	"context"
	"net/http"
)

// handle returns a handler of three steps: decode reads the request, act does
// the work and encode writes the answer. If decode or act fails, the answer is
// a problem document. The context ends when the answer is written or the caller
// disconnects.
func handle[In, Out any](
	s *Server,
	decode func(http.ResponseWriter, *http.Request) (In, error),
	act func(context.Context, In) (Out, error),
	encode func(http.ResponseWriter, *http.Request, In, Out),
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		r = r.WithContext(ctx)
		in, err := decode(w, r)
		if err != nil {
			s.writeRefusal(w, r, err)
			return
		}
		out, err := act(ctx, in)
		if err != nil {
			s.writeFault(w, r, err)
			return
		}
		encode(w, r, in, out)
	})
}
