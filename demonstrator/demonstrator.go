package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/benchmarker"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/requester"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/server"
)

// progressInterval is the time between progress lines.
const progressInterval = 2 * time.Second

// closeTimeout limits the drain and stop of all nodes at the end.
const closeTimeout = time.Minute

// Run runs a demo and writes its progress to w.
func Run(ctx context.Context, plan Plan, w io.Writer) (*Summary, error) {
	d, err := emulator.NewDeployment(plan.deployment, emulator.WithDeploymentSeed(plan.seed))
	if err != nil {
		return nil, fmt.Errorf("build deployment: %w", err)
	}
	demo := &demo{plan: plan, out: w, loadWaits: benchmarker.NewDistribution()}
	demo.asserts = asserter.New(demo.printViolation)
	fleet, err := deployer.New(ctx, d, plan.seed,
		deployer.WithSockets(), deployer.WithAsserter(demo.asserts), deployer.WithNodeOptions(demo.nodeOptions))
	if err != nil {
		return nil, fmt.Errorf("prepare nodes: %w", err)
	}
	demo.fleet = fleet
	summary, err := demo.run(ctx)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if closeErr := fleet.Close(closing); closeErr != nil {
		return nil, errors.Join(err, fmt.Errorf("stop nodes: %w", closeErr))
	}
	if err != nil {
		return nil, err
	}
	demo.addCounters(summary)
	return summary, nil
}

// demo is the state of one run.
type demo struct {
	plan      Plan
	out       io.Writer
	fleet     *deployer.Fleet
	asserts   *asserter.Asserter
	loadWaits *benchmarker.Distribution
	mu        sync.Mutex // guards out
}

func (d *demo) printf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

func (d *demo) printViolation(v asserter.Violation) { d.printf("violation: %s", v) }

func (d *demo) nodeOptions(string) []runner.Option {
	return []runner.Option{runner.WithLoadWaits(d.loadWaits.Record), runner.WithSeed(d.plan.seed)}
}

func (d *demo) run(ctx context.Context) (*Summary, error) {
	d.printf("starting %d nodes of the %s deployment", len(d.fleet.Hosts()), d.plan.deployment)
	if err := d.fleet.Start(ctx); err != nil {
		return nil, fmt.Errorf("start nodes: %w", err)
	}
	d.printf("the first bundle is in force and every engine has an owner")
	doc := d.workload()
	if err := doc.Check(); err != nil {
		return nil, fmt.Errorf("workload: %w", err)
	}
	latency := d.fleet.Deployment().CallerLatency()
	b := benchmarker.New(doc,
		benchmarker.WithExpectation(d.expectation()),
		benchmarker.WithTransport(func() http.RoundTripper { return newDelayedTransport(latency) }))
	stop := d.showProgress(ctx, b)
	result := b.Run(ctx)
	stop()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("interrupted: %w", err)
	}
	s := &Summary{
		Seed:         d.plan.seed,
		Deployment:   d.plan.deployment,
		Requests:     result.Requests,
		Completed:    result.Completed,
		NotRun:       result.NotRun,
		Unknown:      result.Unknown,
		WrongAnswers: result.WrongAnswers,
		FirstTokenMS: result.FirstTokenMS,
		TokenGapMS:   result.TokenGapMS,
		Problems:     result.Problems,
	}
	d.checkPostings(s, b.Postings())
	return s, nil
}

// workload is a light load on the deployment: mostly generations, with popular
// adapters requested far more often than others.
func (d *demo) workload() *benchmarker.Document {
	dep := d.fleet.Deployment()
	first := dep.Models()[0].Adapter()
	doc := &benchmarker.Document{
		Seed:      d.plan.seed,
		DurationS: d.plan.duration.Seconds(),
		Rate:      d.plan.rate,
		Mix:       benchmarker.MixDocument{Generation: 0.7, Posting: 0.15, Lookup: 0.15},
		Adapters: benchmarker.AdaptersDocument{
			Format:   strings.Replace(first, "00000", "%05d", 1),
			Count:    3000,
			Skew:     2,
			Versions: []string{"v1"},
		},
		PromptBytes: 200,
		MaxTokens:   16,
		TimeoutMS:   30_000,
		Service:     dep.ServiceName(),
		PostingPath: "/postings",
		LookupPath:  "/balances/%d",
		Callers:     12,
	}
	if d.plan.deployment == emulator.Tender {
		doc.PostingPath, doc.LookupPath = "/orders", "/stock/%d"
	}
	for _, h := range d.fleet.Hosts() {
		doc.Entries = append(doc.Entries, h.Address())
	}
	return doc
}

// expectation returns the function that computes the tokens of correct answers.
func (d *demo) expectation() benchmarker.Expectation {
	base := d.fleet.Deployment().Models()[0].Base()
	return func(g requester.Generation, index int) string {
		adapter, version, _ := strings.Cut(g.Model(), "@")
		m := connector.NewModel(base, adapter, version)
		return emulator.Token(m, g.Prompt(), dispatcher.Seed(g.RequestID()), index)
	}
}

func (d *demo) showProgress(ctx context.Context, b *benchmarker.Benchmarker) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				started, ended := b.Progress()
				d.printf("%d requests started, %d ended, %d violations", started, ended, d.asserts.Total())
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

// checkPostings compares the outcomes that callers received with the executions
// of the services.
func (d *demo) checkPostings(s *Summary, postings []benchmarker.Posting) {
	executions := d.fleet.Deployment().Executions()
	service := d.fleet.Deployment().ServiceName()
	for _, p := range postings {
		caller := server.CallerName("Bearer " + p.Caller())
		n := executions[claimer.Key(caller, service, p.Key())]
		s.PostingsExecuted += min(n, 1)
		if n > 1 {
			s.DuplicateExecutions++
		}
		switch p.LastOutcome().(type) {
		case classifier.Done:
			if n == 0 {
				s.LostPostings++
			}
		case classifier.NotRun:
			if n > 0 {
				s.FalseNotRun++
			}
		case classifier.Unknown:
		}
	}
}

// addCounters adds the counters of the fakes and the nodes.
func (d *demo) addCounters(s *Summary) {
	dep := d.fleet.Deployment()
	steps, tokens, batch := 0, 0, 0
	for _, e := range dep.Endpoints() {
		if e.Engine() == nil {
			continue
		}
		c := e.Engine().Counters()
		steps += c.Steps()
		tokens += c.Tokens()
		batch = c.Batch()
		s.BrokenByUnload += c.BrokenByUnload()
	}
	if steps > 0 {
		s.BatchEfficiency = float64(tokens) / float64(steps*batch)
	}
	s.Violations = d.asserts.Total()
	s.StoreLoads = dep.Weights().Loads()
	s.LoadStallMS = d.loadWaits.Quantiles()
	s.CrossRegionBytes = d.fleet.CrossRegionBytes()
}
