package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/transporter"
)

func endlessHead(context.Context, *exchanger.Outbound) (*exchanger.Answer, error) {
	return nil, fmt.Errorf("read response: %w", exchanger.ErrTooLong)
}

func endlessEvent(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
	return answer(200, out, false, letters{new(int)}, -1), nil
}

// malformedHead returns a function that fails as a malformed head does.
func malformedHead(cause error) endpointFunc {
	return func(context.Context, *exchanger.Outbound) (*exchanger.Answer, error) {
		return nil, exchanger.NewCallError(true, fmt.Errorf("read response: %w", cause))
	}
}

// Guards against an endpoint that sends bytes without end, or a malformed head, and gets the
// next call, too.
func TestMalformedIsEjected(t *testing.T) {
	for _, f := range []endpointFunc{endlessHead, endlessEvent, malformedHead(transporter.ErrStatus), malformedHead(transporter.ErrField)} {
		for _, resumable := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {f}})
				if a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(resumable), 1, connector.Model{})); err == nil {
					_, err = io.ReadAll(a.Body())
					is.True(err != nil)
					is.NoErr(a.Body().Close())
				}
				is.True(r.fleet.Current().Endpoint("e1").Ejected(time.Now()))
			})
		}
	}
}

// Guards against an endpoint that crashes when it begins to answer a call, after the
// head of its answer, and leaves no mark on the call; and against a mark on a call that
// had output.
func TestCrashMarks(t *testing.T) {
	tests := []struct {
		name    string
		kind    router.Stream
		answer  endpointFunc
		breaks  int
		outputs int
	}{
		{"no head", router.NewStream(false), dropsConnection, 1, 0},
		{"head only", router.NewStream(false), streams(0, -1, errReset), 1, 0},
		{"head only, closed", router.NewStream(false), streams(0, -1, io.EOF), 1, 0},
		{"head only, resumable", router.NewStream(true), streams(0, -1, errReset), 1, 0},
		{"some events", router.NewStream(false), streams(0, 1, errReset), 0, 1},
		{"some events, resumable", router.NewStream(true), streams(0, 1, errReset), 0, 1},
		{"complete", router.NewStream(false), streams(0, 3, nil), 0, 1},
		{"in pieces", router.NewStream(false), inPieces(streams(0, 3, nil)), 0, 1},
		{"refused", router.NewStream(false), refuses(503), 0, 0},
		{"head without end", router.NewStream(true), endlessHead, 0, 0},
		{"event without end", router.NewStream(false), endlessEvent, 0, 0},
		{"event without end, resumable", router.NewStream(true), endlessEvent, 0, 0},
		{"invalid status", router.NewStream(false), malformedHead(transporter.ErrStatus), 0, 0},
		{"malformed field", router.NewStream(true), malformedHead(transporter.ErrField), 0, 0},
		{"end not proven", router.NewStream(false), streams(0, -1, transporter.ErrEnd), 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {tt.answer}})
				if a, err := r.Apply(t.Context(), screenedCall(t, tt.kind, 1, connector.Model{})); err == nil {
					_, _ = io.ReadAll(a.Body()) // fails if the stream broke
					is.NoErr(a.Body().Close())
				}
				is.Equal(r.breaks, tt.breaks)
				is.Equal(r.outputs, tt.outputs)
			})
		})
	}
}

// Guards against an endpoint that truncates the bodies of its answers and counts as sound.
func TestBrokenBodyIsFailure(t *testing.T) {
	const longer = exchanger.MaxBuffered * 2 // bytes; such a body is passed on while it arrives
	long := func(status int) endpointFunc {
		return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			return answer(status, out, false, io.MultiReader(strings.NewReader(strings.Repeat("x", longer)), failing{transporter.ErrEnd}), -1), nil
		}
	}
	tests := []struct {
		name   string
		kind   router.RepeatPolicy
		answer endpointFunc
	}{
		{"stream", router.NewStream(false), streams(0, 1, transporter.ErrEnd)},
		{"resumable stream", router.NewStream(true), streams(0, 1, transporter.ErrEnd)},
		{"error in place of a stream", router.NewStream(false), long(404)},
		{"long answer", router.AtMostOnce{}, long(200)},
		{"long idempotent answer", router.Idempotent{}, long(200)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(map[string][]endpointFunc{"e1": {tt.answer}})
			a, err := r.Apply(t.Context(), screenedCall(t, tt.kind, 1, connector.Model{}))
			is.NoErr(err)
			_, err = io.ReadAll(a.Body())
			is.True(errors.Is(err, transporter.ErrEnd))
			is.NoErr(a.Body().Close())
			is.True(r.fleet.Current().Endpoint("e1").FailureRate() > 0)
			is.Equal(r.breaks, 0) // its output had begun
		})
	}
}

// Guards against a short error in place of a stream of which a caller gets a part, although
// the call can still be answered with one that the host knows to be whole.
func TestBrokenErrorInPlaceOfStream(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			return answer(404, out, false, io.MultiReader(strings.NewReader("part"), failing{transporter.ErrEnd}), -1), nil
		}}})
		_, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(resumable), 1, connector.Model{}))
		is.True(err != nil)
		is.Equal(classifier.Of(err).Outcome(), classifier.Unknown{})
	}
}

// Guards against a refusal without a length that delays its call until the connection ends,
// although no other call can use that connection.
func TestRefusalWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			pipe, w := io.Pipe()
			context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
			return answer(503, out, true, pipe, -1).AsUnframed(), nil
		}}})
		began := time.Now()
		_, err := r.Apply(t.Context(), screenedCall(t, router.AtMostOnce{}, 1, connector.Model{}))
		is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against an answer that the front end cannot encode, and whose caller gets neither it
// nor another answer.
func TestMalformedAnswerAtFrontEnd(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header http.Header
	}{
		{"status 0", 0, nil},
		{"status 99", 99, nil},
		{"status 600", 600, nil},
		{"blank in a field name", 200, http.Header{"X Y": {"1"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(map[string][]endpointFunc{"e1": {func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
				return exchanger.NewAnswer(tt.status, tt.header, exchanger.NewMeta(out.Call().ID(), false, true), io.NopCloser(strings.NewReader("body")), 4), nil
			}}})
			status, _, _ := callFrontEnd(t, r, router.AtMostOnce{}, time.Second)
			is.Equal(status, http.StatusBadGateway)
		})
	}
}
