package trial_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
)

// streamCaller sends generations one at a time to nodes that are not draining, and
// records the errors of interrupted answers.
type streamCaller struct {
	trial       *trial
	completed   int
	refused     int
	interrupted []error
}

func (s *streamCaller) run(ctx context.Context, model connector.Model, length int) {
	for ctx.Err() == nil {
		h := s.acceptingHost()
		if h == nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		s.send(h, model, length)
	}
}

// acceptingHost returns a host whose node is not draining, or nil. It starts the
// search at the next host for each request.
func (s *streamCaller) acceptingHost() *deployer.Host {
	hosts := s.trial.fleet.Hosts()
	for i := range hosts {
		h := hosts[(i+s.completed+s.refused)%len(hosts)]
		if node := h.Node(); node != nil && !node.Status().Draining {
			return h
		}
	}
	return nil
}

// send sends one request to a host and reads the whole answer from its node.
func (s *streamCaller) send(h *deployer.Host, m connector.Model, length int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := h.Node().Pipeline().Apply(ctx, receiver.NewGeneration(m.String(), "a long document", length, 0))
	if err != nil {
		if _, notRun := classifier.Of(err).Outcome().(classifier.NotRun); !notRun {
			s.interrupted = append(s.interrupted, err)
		}
		s.refused++
		sleep(ctx, 100*time.Millisecond)
		return
	}
	body, ok := answer.Body().(*responder.TokenBody)
	if !ok {
		s.interrupted = append(s.interrupted, errors.New("the answer has no token stream"))
		return
	}
	defer func() { _ = body.Stream().Close() }()
	for {
		_, err := body.Stream().Next(ctx)
		if errors.Is(err, io.EOF) {
			s.completed++
			return
		}
		if err != nil {
			s.interrupted = append(s.interrupted, err)
			return
		}
	}
}

// Guards against a planned stop that interrupts a request: the nodes are replaced
// one after the other while callers stream answers that last five seconds.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTrial(t, 1)
		is.NoErr(tr.fleet.Start(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		callers := make([]*streamCaller, 8)
		for i := range callers {
			callers[i] = &streamCaller{trial: tr}
			tr.work.Go(func() { callers[i].run(ctx, tr.fleet.Deployment().Models()[i], 200) })
		}
		time.Sleep(10 * time.Second)
		started := time.Now()
		for _, h := range tr.fleet.Hosts() {
			is.NoErr(h.Stop(t.Context()))
			is.NoErr(h.Start(t.Context()))
			time.Sleep(10 * time.Second)
		}
		took := time.Since(started)
		cancel()
		tr.work.Wait()
		completed, refused := 0, 0
		for _, c := range callers {
			completed += c.completed
			refused += c.refused
			for _, err := range c.interrupted {
				t.Errorf("an answer was interrupted: %v", err)
			}
		}
		t.Logf("six nodes replaced in %v: %d answers complete, %d refused, 0 interrupted", took, completed, refused)
		is.True(completed > 0)
		is.True(tr.fleet.AllEnginesOwned())
		tr.cancel()
		is.NoErr(tr.fleet.Close(t.Context()))
	})
}
