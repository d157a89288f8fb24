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

// caller sends requests one at a time, each to a random node, and repeats those
// that fail with a retryable error.
type caller struct {
	trial    *trial
	name     string
	rng      *rand.Rand
	requests int // number of requests sent, counting the current one
}

func newCaller(tr *trial, i int) *caller {
	return &caller{trial: tr, name: fmt.Sprintf("caller-%d", i), rng: tr.random(100 + uint64(i))}
}

// Timeout of one exchange and highest number of exchanges per request. An exchange
// sends a request to one node and reads the response.
const (
	exchangeTimeout = 20 * time.Second
	maxExchanges    = 5
)

func (c *caller) run() {
	for c.trial.ctx.Err() == nil {
		c.requests++
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
		sleep(c.trial.ctx, time.Duration(c.rng.ExpFloat64()*float64(pause)))
	}
}

func (c *caller) host() *deployer.Host {
	hosts := c.trial.fleet.Hosts()
	return hosts[c.rng.IntN(len(hosts))]
}

// exchange sends a call to a host and passes the answer to handle. It fails when the
// node is killed.
func (c *caller) exchange(ctx context.Context, h *deployer.Host, call *receiver.Call, handle func(context.Context, *responder.Answer) error) error {
	node := h.Node()
	if node == nil {
		return connector.ErrRefused
	}
	process := h.ProcessContext()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	defer context.AfterFunc(process, cancel)()
	answer, err := node.Pipeline().Apply(ctx, call)
	if process.Err() != nil {
		return connector.ErrBroken // a killed process sends no answer
	}
	if err != nil {
		return err
	}
	return handle(ctx, answer)
}

func (c *caller) model() connector.Model {
	models := c.trial.fleet.Deployment().Models()
	// Squaring favours models with low numbers.
	x := c.rng.Float64()
	return models[int(x*x*float64(len(models)))]
}

func (c *caller) generate() {
	m := c.model()
	prompt := fmt.Sprintf("%s document %d", c.name, c.requests)
	ctx := c.trial.ctx
	if c.rng.IntN(20) == 0 { // one caller in 20 cancels
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.rng.IntN(1000))*time.Millisecond)
		defer cancel()
	}
	if err := c.generateAt(ctx, nil, m, prompt); err != nil {
		c.trial.count("generations without an answer")
		return
	}
	c.trial.count("generations")
}

// generation is a generated answer that is received over one or more exchanges.
type generation struct {
	caller   *caller
	model    connector.Model
	prompt   string
	id       string
	length   int // requested number of tokens
	received int // number of tokens received so far
	started  time.Time
}

// generateAt requests a generation from host h, or from a random host for each
// exchange if h is nil. When an exchange fails with a retryable error, the next one
// resumes the answer after the tokens received so far.
func (c *caller) generateAt(ctx context.Context, h *deployer.Host, m connector.Model, prompt string) error {
	g := &generation{
		caller: c, model: m, prompt: prompt,
		id: fmt.Sprintf("%s-%d-%d", c.name, c.requests, c.rng.Uint32()), length: 1 + c.rng.IntN(20),
	}
	var err error
	for range maxExchanges {
		target := h
		if target == nil {
			target = c.host()
		}
		g.started = time.Now()
		call := receiver.NewGeneration(m.String(), prompt, g.length, g.received,
			receiver.WithRequestID(g.id), receiver.WithCaller(c.name), receiver.WithTimeout(exchangeTimeout))
		if err = c.exchange(ctx, target, call, g.read); err == nil || ctx.Err() != nil || !retryable(err) {
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
	tr := g.caller.trial
	body, ok := a.Body().(*responder.TokenBody)
	if !ok {
		return errors.New("the answer has no token stream")
	}
	defer func() { _ = body.Stream().Close() }()
	if a.Model() != g.model {
		tr.t.Errorf("seed %d: %s requested model %s and got %s", tr.seed, g.id, g.model, a.Model())
	}
	for {
		chunk, err := body.Stream().Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if want := emulator.Token(g.model, g.prompt, dispatcher.Seed(g.id), g.received); chunk.Text() != want || chunk.Index() != g.received {
			tr.t.Errorf("seed %d: %s got token %d %q; expected %d %q", tr.seed, g.id, chunk.Index(), chunk.Text(), g.received, want)
		}
		g.received++
	}
	if g.received != g.length {
		tr.t.Errorf("seed %d: %s ended without an error after %d of %d tokens", tr.seed, g.id, g.received, g.length)
	}
	if tr.withdrawnAt(g.model.Adapter(), g.started) {
		tr.t.Errorf("seed %d: %s was answered at epoch %d by withdrawn model %s", tr.seed, g.id, a.Epoch(), g.model)
	}
	return nil
}

// sendPoison sends a request that crashes every engine that runs it.
func (c *caller) sendPoison() {
	call := func() *receiver.Call {
		return receiver.NewGeneration(c.trial.fleet.Deployment().Models()[0].String(), poison, 5, 0,
			receiver.WithCaller(c.name), receiver.WithTimeout(exchangeTimeout))
	}
	for range 3 {
		err := c.exchange(c.trial.ctx, c.host(), call(), readAll)
		var stopped *classifier.Stopped
		if errors.As(err, &stopped) {
			c.trial.count("poison stopped")
			return
		}
		sleep(c.trial.ctx, time.Second)
	}
	c.trial.count("poison not stopped")
}

// readAll reads the token stream of an answer to its end.
func readAll(ctx context.Context, a *responder.Answer) error {
	body, ok := a.Body().(*responder.TokenBody)
	if !ok {
		return errors.New("the answer has no token stream")
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
	service := c.trial.fleet.Deployment().ServiceName()
	call := receiver.NewServiceCall(service, http.MethodGet, fmt.Sprintf("/balances/%d", c.requests), nil, "", 1,
		receiver.WithCaller(c.name), receiver.WithTimeout(exchangeTimeout))
	err := c.exchange(c.trial.ctx, c.host(), call, func(context.Context, *responder.Answer) error { return nil })
	if err != nil {
		c.trial.count("lookups without an answer")
		return
	}
	c.trial.count("lookups")
}

// posting records the outcomes that a caller received for one non-idempotent call.
type posting struct {
	key      string
	outcomes []classifier.Outcome
}

func (c *caller) post() {
	service := c.trial.fleet.Deployment().ServiceName()
	key := fmt.Sprintf("posting-%d", c.requests)
	p := &posting{key: claimer.Key(c.name, service, key)}
	c.trial.mu.Lock()
	c.trial.postings[p.key] = p
	c.trial.mu.Unlock()
	body := fmt.Appendf(nil, `{"amount":%d}`, c.requests)
	for n := 1; n <= maxExchanges; n++ {
		call := receiver.NewServiceCall(service, http.MethodPost, "/postings", body, key, n,
			receiver.WithCaller(c.name), receiver.WithTimeout(exchangeTimeout))
		err := c.exchange(c.trial.ctx, c.host(), call, func(_ context.Context, a *responder.Answer) error {
			return p.checkReply(a)
		})
		p.recordOutcome(c.trial, err)
		if err == nil || c.trial.ctx.Err() != nil || !retryable(err) {
			return
		}
		sleep(c.trial.ctx, time.Duration(200+c.rng.IntN(1500))*time.Millisecond)
	}
}

// checkReply verifies that the reply belongs to the posting.
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
		return &foreignReplyError{want: p.key, got: reply.Operation}
	}
	return nil
}

// foreignReplyError reports that a posting got the reply to another posting.
type foreignReplyError struct{ want, got string }

func (e *foreignReplyError) Error() string {
	return fmt.Sprintf("posting %s got the reply to %s", e.want, e.got)
}

// recordOutcome records the outcome of one exchange. A posting that is reported as
// not run must not have run by then in any earlier attempt, and a posting that is
// done must have run exactly once.
func (p *posting) recordOutcome(tr *trial, err error) {
	var foreign *foreignReplyError
	if errors.As(err, &foreign) {
		tr.t.Errorf("seed %d: %v", tr.seed, foreign)
		return
	}
	var outcome classifier.Outcome = classifier.Done{}
	switch {
	case errors.Is(err, connector.ErrRefused):
		outcome = nil // the node sent no outcome
	case err != nil:
		outcome = classifier.Of(err).Outcome()
	}
	if outcome == nil {
		return
	}
	p.outcomes = append(p.outcomes, outcome)
	tr.count("postings " + outcome.String())
	runs := tr.fleet.Deployment().Executions()[p.key]
	switch outcome.(type) {
	case classifier.NotRun:
		if runs > 0 {
			tr.t.Errorf("seed %d: posting %s was reported as not run but had run (outcomes %v): %v", tr.seed, p.key, p.outcomes, err)
		}
	case classifier.Done:
		if runs != 1 {
			tr.t.Errorf("seed %d: posting %s is done but ran %d times; expected 1", tr.seed, p.key, runs)
		}
	}
}

// checkFinalOutcome compares the last outcome with the final number of runs.
func (p *posting) checkFinalOutcome(tr *trial, runs int) {
	if len(p.outcomes) == 0 {
		return
	}
	switch p.outcomes[len(p.outcomes)-1].(type) {
	case classifier.NotRun:
		if runs > 0 {
			tr.t.Errorf("seed %d: posting %s ran after it was reported as not run (outcomes %v)", tr.seed, p.key, p.outcomes)
		}
	case classifier.Done:
		if runs != 1 {
			tr.t.Errorf("seed %d: posting %s is done but ran %d times by the end of the trial; expected 1", tr.seed, p.key, runs)
		}
	}
}
