package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
)

// eventData returns the data of all events of a stream.
func eventData(stream []byte) string {
	text := ""
	for line := range strings.Lines(string(stream)) {
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			text += strings.TrimSpace(value)
		}
	}
	return text
}

// Guards against an event without end, which would be kept in memory, and against its
// beginning being passed on as a complete answer.
func TestEventWithoutEnd(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			read := 0
			r := newHarness(map[string][]endpointFunc{"e1": {func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
				return answer(200, out, false, letters{&read}, -1), nil
			}}})
			began := time.Now()
			a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(resumable), 1, connector.Model{}))
			is.NoErr(err)
			data, err := io.ReadAll(a.Body())
			is.True(err != nil)
			is.True(!resumable || len(data) == 0)
			is.True(read <= 128<<10)
			is.True(time.Since(began) < time.Second)
			is.NoErr(a.Body().Close())
			is.True(r.fleet.Current().Endpoint("e1").FailureRate() > 0)
		})
	}
}

// Guards against an answer that drips on without end past the deadline of its call,
// and against a slow one that is cut before it.
func TestDrippingAnswer(t *testing.T) {
	for _, kind := range []router.RepeatPolicy{router.AtMostOnce{}, router.NewStream(false), router.NewStream(true)} {
		t.Run(fmt.Sprintf("%T", kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
					pipe, w := io.Pipe()
					context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
					go func() {
						for i := 0; ; i++ {
							time.Sleep(900 * time.Millisecond)
							if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i); err != nil {
								return
							}
						}
					}()
					return answer(200, out, false, pipe, -1), nil
				}}})
				began := time.Now()
				a, err := r.Apply(t.Context(), screenedCall(t, kind, 1, connector.Model{}))
				if err == nil {
					_, err = io.ReadAll(a.Body())
					is.NoErr(a.Body().Close())
				}
				is.True(err != nil)
				is.Equal(time.Since(began), 4*time.Second) // the deadline of the call
				time.Sleep(time.Second)                    // the endpoint notices
			})
		})
	}
}

// Guards against a missing, duplicated or truncated event when a stream is resumed
// after its endpoint broke the connection, and against an incomplete stream that
// ends with io.EOF, also if it has neither a length nor chunks.
func TestResume(t *testing.T) {
	tests := []struct {
		name   string
		kind   router.Stream
		first  endpointFunc
		second endpointFunc
		want   string
		fails  bool
		sent   int
	}{
		{"complete", router.NewStream(true), streams(0, 3, nil), nil, "0123", false, 1},
		{"broken and resumed", router.NewStream(true), streams(0, 1, errReset), streams(2, 3, nil), "0123", false, 2},
		{"resumed too early", router.NewStream(true), streams(0, 1, errReset), streams(0, 3, nil), "0123", false, 2},
		{"broken before its first event", router.NewStream(true), streams(0, -1, errReset), streams(0, 3, nil), "0123", false, 2},
		{"broken twice", router.NewStream(true), streams(0, 1, errReset), streams(2, 2, errReset), "012", true, 2},
		{"error status on resumption", router.NewStream(true), streams(0, 1, errReset), answers(500, "no"), "01", true, 2},
		{"not resumable", router.NewStream(false), streams(0, 1, errReset), nil, "01", true, 1},
		{"ends inside an event and resumed", router.NewStream(true), streams(0, 1, io.EOF), streams(2, 3, nil), "0123", false, 2},
		{"ends before its first event and resumed", router.NewStream(true), streams(0, -1, nil), streams(0, 3, nil), "0123", false, 2},
		{"broken after its last event and resumed", router.NewStream(true), streams(0, 3, errReset), streams(4, 3, nil), "0123", false, 2},
		{"ends inside an event, not resumable", router.NewStream(false), streams(0, 1, io.EOF), nil, "01", true, 1},
		{"ends before its first event, not resumable", router.NewStream(false), streams(0, -1, nil), nil, "", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": nil, "e2": nil})
				n := 0
				step := func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
					if n++; n == 1 {
						return tt.first(ctx, out)
					}
					return tt.second(ctx, out)
				}
				r.script = map[string][]endpointFunc{"e1": {step}, "e2": {step}}
				a, err := r.Apply(t.Context(), screenedCall(t, tt.kind, 2, connector.Model{}))
				is.NoErr(err)
				is.True(a.Streaming())
				data, err := io.ReadAll(a.Body())
				is.NoErr(a.Body().Close())
				is.Equal(err != nil, tt.fails)
				is.Equal(eventData(data), tt.want)
				is.Equal(len(r.sent), tt.sent)
			})
		})
	}
}

// Guards against the head or the text of an error in the middle of a stream that another
// endpoint was to resume, and against such a stream that ends as if it were complete.
func TestErrorOnResumption(t *testing.T) {
	const text = "HTTP/1.1 500 Internal Server Error\r\n\r\nno"
	tests := []struct {
		name   string
		second endpointFunc
	}{
		{"error", answers(500, text)},
		{"error of a gateway", answers(504, text)},
		{"not found", answers(404, text)},
		{"refusal", refuses(503)},
		{"refusal with a text", func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			return answer(429, out, true, strings.NewReader(text), int64(len(text))), nil
		}},
		{"success that is no stream", answers(200, text)},
		{"head only, ended by the end of the connection", func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			a, err := streams(2, 1, nil)(ctx, out)
			return a.AsUnframed(), err
		}},
		{"success without an event", answers(204, "")},
		{"no answer", dropsConnection},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := true
				step := func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
					if first {
						first = false
						return streams(0, 1, errReset)(ctx, out)
					}
					return tt.second(ctx, out)
				}
				r := newHarness(map[string][]endpointFunc{"e1": {step}, "e2": {step}, "e3": {step}})
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 3, connector.Model{}))
				is.NoErr(err)
				data, err := io.ReadAll(a.Body())
				is.True(err != nil) // so that the front end breaks the connection off
				is.NoErr(a.Body().Close())
				is.Equal(string(data), "id: 0\ndata: 0\n\nid: 1\ndata: 1\n\n")
			})
		})
	}
}

// Guards against ending a stream because its endpoint pauses.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": nil, "e2": nil})
		step := func(_ context.Context, _ *exchanger.Outbound) (*exchanger.Answer, error) {
			pipe, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, "id: 0\ndata: 0\n\n")
				time.Sleep(3 * time.Second)
				_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
				_ = w.Close()
			}()
			return exchanger.NewAnswer(200, http.Header{}, exchanger.NewMeta("id", false, true), pipe, -1), nil
		}
		r.script = map[string][]endpointFunc{"e1": {step}, "e2": {step}}
		a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 2, connector.Model{}))
		is.NoErr(err)
		data, err := io.ReadAll(a.Body())
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.Equal(strings.Count(string(data), "data:"), 2)
		is.Equal(len(r.sent), 1)
	})
}

// Guards against a stream that ends with an endpoint's event without end although another
// endpoint could go on.
func TestEventWithoutEndElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		read := 0
		r := newHarness(map[string][]endpointFunc{
			"e1": {func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
				return answer(200, out, false, io.MultiReader(strings.NewReader("id: 0\ndata: 0\n\n"), letters{&read}), -1), nil
			}},
			"e2": {streams(1, 3, nil)},
		})
		for range 8 { // e1 is chosen first
			r.fleet.Current().Endpoint("e2").Begin()
		}
		a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 2, connector.Model{}))
		is.NoErr(err)
		data, err := io.ReadAll(a.Body())
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.Equal(eventData(data), "0123")
	})
}
