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

// steady is a caller that sends one request after the other to nodes that take
// new ones, and counts what is cut.
type steady struct {
	world   *world
	done    int
	refused int
	cut     []error
}

func (s *steady) run(ctx context.Context, model connector.Model, length int) {
	for ctx.Err() == nil {
		h := s.entry()
		if h == nil {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		s.send(h, model, length)
	}
}

// entry returns a node that takes new requests, another one each time.
func (s *steady) entry() *deployer.Host {
	hosts := s.world.fleet.Hosts()
	for i := range hosts {
		h := hosts[(i+s.done+s.refused)%len(hosts)]
		if node := h.Node(); node != nil && !node.Status().Draining {
			return h
		}
	}
	return nil
}

// send follows one answer to its end on the node that took the request.
func (s *steady) send(h *deployer.Host, m connector.Model, length int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := h.Node().Pipeline().Apply(ctx, receiver.NewGeneration(m.String(), "a long document", length, 0))
	if err != nil {
		if _, notRun := classifier.Of(err).Outcome().(classifier.NotRun); !notRun {
			s.cut = append(s.cut, err)
		}
		s.refused++
		sleep(ctx, 100*time.Millisecond)
		return
	}
	body, ok := answer.Body().(*responder.TokenBody)
	if !ok {
		s.cut = append(s.cut, errors.New("the answer has no tokens"))
		return
	}
	defer func() { _ = body.Stream().Close() }()
	for {
		_, err := body.Stream().Next(ctx)
		if errors.Is(err, io.EOF) {
			s.done++
			return
		}
		if err != nil {
			s.cut = append(s.cut, err)
			return
		}
	}
}

// Guards against a planned stop that cuts a request: every node is replaced once,
// one after the other, while callers stream answers that last five seconds.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		is.NoErr(w.fleet.Start(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		callers := make([]*steady, 8)
		for i := range callers {
			callers[i] = &steady{world: w}
			w.work.Go(func() { callers[i].run(ctx, w.fleet.Deployment().Models()[i], 200) })
		}
		time.Sleep(10 * time.Second)
		began := time.Now()
		for _, h := range w.fleet.Hosts() {
			is.NoErr(h.Stop(t.Context()))
			is.NoErr(h.Start(t.Context()))
			time.Sleep(10 * time.Second)
		}
		took := time.Since(began)
		cancel()
		w.work.Wait()
		done, refused := 0, 0
		for _, c := range callers {
			done += c.done
			refused += c.refused
			for _, err := range c.cut {
				t.Errorf("an answer was cut: %v", err)
			}
		}
		t.Logf("six nodes replaced in %v: %d answers complete, %d refused, 0 cut", took, done, refused)
		is.True(done > 0)
		is.True(w.fleet.AllEnginesOwned())
		w.cancel()
		is.NoErr(w.fleet.Close(t.Context()))
	})
}
