package trial_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
)

// caller sends requests one after the other, each to any node, and repeats what
// has no answer at another.
type caller struct {
	world *world
	name  string
	rng   *rand.Rand
	n     int
}

func newCaller(w *world, i int) *caller {
	return &caller{world: w, name: fmt.Sprintf("caller-%d", i), rng: w.random(100 + uint64(i))}
}

// timeouts of one exchange and number of exchanges per request.
const (
	requestTimeout = 20 * time.Second
	exchanges      = 5
)

func (c *caller) run() {
	for c.world.ctx.Err() == nil {
		c.n++
		switch x := c.rng.Float64(); {
		case x < 0.02:
			c.sendPoison()
		case x < 0.65:
			c.generate()
		case x < 0.9:
			c.post()
		default:
			c.lookUp()
		}
		sleep(c.world.ctx, time.Duration(c.rng.ExpFloat64()*float64(pause)))
	}
}

func (c *caller) host() *deployer.Host {
	hosts := c.world.fleet.Hosts()
	return hosts[c.rng.IntN(len(hosts))]
}

// connected runs an exchange that ends when the node is killed.
func (c *caller) connected(ctx context.Context, h *deployer.Host, call *receiver.Call, use func(context.Context, *responder.Answer) error) error {
	node := h.Node()
	if node == nil {
		return connector.ErrRefused
	}
	death := h.ProcessContext()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	defer context.AfterFunc(death, cancel)()
	answer, err := node.Pipeline().Apply(ctx, call)
	if death.Err() != nil {
		return connector.ErrBroken // no answer arrives from a killed process
	}
	if err != nil {
		return err
	}
	return use(ctx, answer)
}

func (c *caller) model() connector.Model {
	models := c.world.fleet.Deployment().Models()
	// Squaring makes low numbers popular.
	x := c.rng.Float64()
	return models[int(x*x*float64(len(models)))]
}

func (c *caller) generate() {
	m := c.model()
	prompt := fmt.Sprintf("%s document %d", c.name, c.n)
	ctx := c.world.ctx
	if c.rng.IntN(20) == 0 { // some callers go away
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, time.Duration(c.rng.IntN(1000))*time.Millisecond)
		defer leave()
	}
	if err := c.generateAt(ctx, nil, m, prompt); err != nil {
		c.world.count("generations without answer")
		return
	}
	c.world.count("generations")
}

// generation is an answer that grows over several exchanges.
type generation struct {
	caller  *caller
	model   connector.Model
	prompt  string
	id      string
	length  int
	tokens  int
	started time.Time
}

// generateAt asks for text at a host, or at any if it is nil, and resumes the
// answer elsewhere when it breaks.
func (c *caller) generateAt(ctx context.Context, h *deployer.Host, m connector.Model, prompt string) error {
	g := &generation{
		caller: c, model: m, prompt: prompt,
		id: fmt.Sprintf("%s-%d-%d", c.name, c.n, c.rng.Uint32()), length: 1 + c.rng.IntN(20),
	}
	var err error
	for range exchanges {
		at := h
		if at == nil {
			at = c.host()
		}
		g.started = time.Now()
		call := receiver.NewGeneration(m.String(), prompt, g.length, g.tokens,
			receiver.WithRequestID(g.id), receiver.WithCaller(c.name), receiver.WithTimeout(requestTimeout))
		if err = c.connected(ctx, at, call, g.read); err == nil || ctx.Err() != nil || !retryable(err) {
			return err
		}
		sleep(ctx, time.Duration(200+c.rng.IntN(800))*time.Millisecond)
	}
	return err
}

func retryable(err error) bool {
	f := classifier.Of(err)
	if _, unknown := f.Outcome().(classifier.Unknown); unknown {
		return true
	}
	return f.RetryAfter() > 0
}

func (g *generation) read(ctx context.Context, a *responder.Answer) error {
	w := g.caller.world
	body, ok := a.Body().(*responder.TokenBody)
	if !ok {
		return errors.New("the answer has no tokens")
	}
	defer func() { _ = body.Stream().Close() }()
	if a.Model() != g.model {
		w.t.Errorf("seed %d: %s asked for %s and got %s", w.seed, g.id, g.model, a.Model())
	}
	for {
		chunk, err := body.Stream().Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if want := emulator.Token(g.model, g.prompt, dispatcher.Seed(g.id), g.tokens); chunk.Text() != want || chunk.Index() != g.tokens {
			w.t.Errorf("seed %d: %s got token %d %q; expected %d %q", w.seed, g.id, chunk.Index(), chunk.Text(), g.tokens, want)
		}
		g.tokens++
	}
	if g.tokens != g.length {
		w.t.Errorf("seed %d: %s is complete with %d of %d tokens", w.seed, g.id, g.tokens, g.length)
	}
	if w.withdrawnAt(g.model.Adapter(), g.started) {
		w.t.Errorf("seed %d: %s was answered at epoch %d by %s, which was withdrawn", w.seed, g.id, a.Epoch(), g.model)
	}
	return nil
}

// sendPoison sends a request that crashes every engine that runs it.
func (c *caller) sendPoison() {
	call := func() *receiver.Call {
		return receiver.NewGeneration(c.world.fleet.Deployment().Models()[0].String(), poison, 5, 0,
			receiver.WithCaller(c.name), receiver.WithTimeout(requestTimeout))
	}
	for range 3 {
		err := c.connected(c.world.ctx, c.host(), call(), readAll)
		var stopped *classifier.Stopped
		if errors.As(err, &stopped) {
			c.world.count("poison stopped")
			return
		}
		sleep(c.world.ctx, time.Second)
	}
	c.world.count("poison not stopped")
}

// readAll reads tokens to their end.
func readAll(ctx context.Context, a *responder.Answer) error {
	body, ok := a.Body().(*responder.TokenBody)
	if !ok {
		return errors.New("the answer has no tokens")
	}
	defer func() { _ = body.Stream().Close() }()
	for {
		if _, err := body.Stream().Next(ctx); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func (c *caller) lookUp() {
	service := c.world.fleet.Deployment().ServiceName()
	call := receiver.NewServiceCall(service, http.MethodGet, fmt.Sprintf("/balances/%d", c.n), nil, "", 1,
		receiver.WithCaller(c.name), receiver.WithTimeout(requestTimeout))
	err := c.connected(c.world.ctx, c.host(), call, func(context.Context, *responder.Answer) error { return nil })
	if err != nil {
		c.world.count("lookups without answer")
		return
	}
	c.world.count("lookups")
}

// posting is what a caller knows of one non-idempotent call.
type posting struct {
	key      string
	outcomes []classifier.Outcome
}

func (c *caller) post() {
	service := c.world.fleet.Deployment().ServiceName()
	key := fmt.Sprintf("posting-%d", c.n)
	p := &posting{key: claimer.Key(c.name, service, key)}
	c.world.mu.Lock()
	c.world.postings[p.key] = p
	c.world.mu.Unlock()
	body := fmt.Appendf(nil, `{"amount":%d}`, c.n)
	for n := 1; n <= exchanges; n++ {
		call := receiver.NewServiceCall(service, http.MethodPost, "/postings", body, key, n,
			receiver.WithCaller(c.name), receiver.WithTimeout(requestTimeout))
		err := c.connected(c.world.ctx, c.host(), call, func(_ context.Context, a *responder.Answer) error {
			return p.checkReply(a)
		})
		p.heard(c.world, err)
		if err == nil || c.world.ctx.Err() != nil || !retryable(err) {
			return
		}
		sleep(c.world.ctx, time.Duration(200+c.rng.IntN(1500))*time.Millisecond)
	}
}

// checkReply compares the answer with the posting.
func (p *posting) checkReply(a *responder.Answer) error {
	body, ok := a.Body().(*responder.ReplyBody)
	if !ok {
		return errors.New("the answer has no reply")
	}
	var reply struct {
		Operation string `json:"operation"`
	}
	if err := json.Unmarshal(body.Reply().Body(), &reply); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	if reply.Operation != p.key {
		return &foreignReplyError{own: p.key, got: reply.Operation}
	}
	return nil
}

// foreignReplyError reports an answer that belongs to another posting.
type foreignReplyError struct{ own, got string }

func (e *foreignReplyError) Error() string {
	return fmt.Sprintf("posting %s got the answer of %s", e.own, e.got)
}

// heard notes an outcome. Work that is reported as not run must not have run at
// this moment, whatever earlier attempts did.
func (p *posting) heard(w *world, err error) {
	var foreign *foreignReplyError
	if errors.As(err, &foreign) {
		w.t.Errorf("seed %d: %v", w.seed, foreign)
		return
	}
	var outcome classifier.Outcome = classifier.Done{}
	switch {
	case errors.Is(err, connector.ErrRefused):
		outcome = nil // nothing was said
	case err != nil:
		outcome = classifier.Of(err).Outcome()
	}
	if outcome == nil {
		return
	}
	p.outcomes = append(p.outcomes, outcome)
	w.count("postings " + outcome.String())
	runs := w.fleet.Deployment().Executions()[p.key]
	switch outcome.(type) {
	case classifier.NotRun:
		if runs > 0 {
			w.t.Errorf("seed %d: posting %s was reported as not run and ran (outcomes %v): %v", w.seed, p.key, p.outcomes, err)
		}
	case classifier.Done:
		if runs != 1 {
			w.t.Errorf("seed %d: posting %s is done and ran %d times", w.seed, p.key, runs)
		}
	}
}

// checkEnd compares the last outcome with what ran in the end.
func (p *posting) checkEnd(w *world, runs int) {
	if len(p.outcomes) == 0 {
		return
	}
	switch p.outcomes[len(p.outcomes)-1].(type) {
	case classifier.NotRun:
		if runs > 0 {
			w.t.Errorf("seed %d: posting %s ran after it was reported as not run (outcomes %v)", w.seed, p.key, p.outcomes)
		}
	case classifier.Done:
		if runs != 1 {
			w.t.Errorf("seed %d: posting %s is done and ran %d times in the end", w.seed, p.key, runs)
		}
	}
}
