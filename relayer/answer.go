package relayer

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Answer is an endpoint's answer on its way to the caller. Its body must be
// closed.
type Answer struct {
	status   int
	header   http.Header
	length   int64
	body     io.ReadCloser
	endpoint string
	sends    int
	live     bool
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the endpoint's header fields.
func (a *Answer) Header() http.Header { return a.header }

// Length returns the length of the body in bytes, or -1 if it is not known.
func (a *Answer) Length() int64 { return a.length }

// Body returns the body. It ends with io.EOF only if the answer is whole.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Endpoint returns the id of the endpoint that answered first.
func (a *Answer) Endpoint() string { return a.endpoint }

// Sends returns how often the call was sent.
func (a *Answer) Sends() int { return a.sends }

// Streaming reports whether the body arrives piece by piece and is to be passed on at
// once.
func (a *Answer) Streaming() bool { return a.live }

func newAnswer(a *exchanger.Answer, body io.ReadCloser, endpoint string, sends int, live bool) *Answer {
	return &Answer{
		status: a.Status(), header: a.Header(), length: a.Length(), body: body,
		endpoint: endpoint, sends: sends, live: live,
	}
}

// guarded ends what a call holds with the body of its answer.
type guarded struct {
	io.ReadCloser
	end func()
}

func (g guarded) Close() error {
	err := g.ReadCloser.Close()
	g.end()
	return err
}

// silentTime is how long a stream must have been silent when its caller leaves for
// the endpoint to count as failing. Callers give a stream up after two seconds or
// more.
const silentTime = 1500 * time.Millisecond

// watched is the body of a stream that notices an endpoint that fell silent.
type watched struct {
	io.ReadCloser
	endpoint *tracker.Endpoint
	last     time.Time
	ended    bool
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		w.ended = true
	case err == nil:
		w.last = time.Now()
	}
	return n, err
}

func (w *watched) Close() error {
	if !w.ended && time.Since(w.last) > silentTime {
		w.endpoint.Failed()
	}
	return w.ReadCloser.Close()
}
