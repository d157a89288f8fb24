package allotter

import (
	"context"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/router"
)

// lateAfter is the age after which the tokens of a call that did not run are returned as late
// ones. The bucket has filled up again by then, so that they could exceed the quota.
const lateAfter = 250 * time.Millisecond

// stage charges calls before it passes them to the rest of the pipeline.
type stage[O any] struct {
	allotter *Allotter
	inner    chainer.Filter[*router.Routed, O]
}

// Wrap returns a filter that charges calls of workspaces with a quota, refuses those over it,
// and passes the others to inner. The tokens of calls that did not run are returned.
func Wrap[O any](a *Allotter, inner chainer.Filter[*router.Routed, O]) chainer.Filter[*router.Routed, O] {
	return &stage[O]{allotter: a, inner: inner}
}

// Apply implements chainer.Filter.
func (s *stage[O]) Apply(ctx context.Context, r *router.Routed) (O, error) {
	w := r.Workspace()
	if w == nil || !w.Quota().Limited() {
		return s.inner.Apply(ctx, r)
	}
	var none O
	began, cost := time.Now(), w.Quota().Cost(r.Call)
	charged := s.allotter.draw(ctx, w.Name(), termsOf(r.Table(), w), cost)
	s.allotter.observer.RecordDraw(charged.source, charged.verdict, time.Since(began))
	if exceeded, ok := charged.verdict.(accountant.Exceeded); ok {
		if ctx.Err() != nil {
			return none, classifier.NewCanceled("the caller went away")
		}
		return none, classifier.NewQuotaExceeded("the quota of workspace "+w.Name()+" is used up", classifier.RetryAfter(exceeded.Wait()))
	}
	answer, err := s.inner.Apply(ctx, r)
	if err != nil {
		if _, ok := classifier.Of(err).Outcome().(classifier.NotRun); ok {
			s.allotter.refund(charged.account, cost, time.Since(began))
		}
	}
	return answer, err
}

// refund returns the tokens of a call that did not run to where they were taken from.
func (a *Allotter) refund(from account, cost float64, age time.Duration) {
	report := NewReport(cost, 0, 0)
	if age > lateAfter {
		report = NewReport(0, cost, 0)
	}
	switch from.host {
	case "":
		a.local.Return(from.workspace, report.returned, time.Now())
	case a.members.Self():
		a.settle(from.workspace, report, time.Now())
	default:
		a.reports.add(from, report)
	}
}
