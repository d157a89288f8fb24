package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/estimator"
)

const (
	defaultPromptToken = 50 * time.Microsecond
	defaultOutputToken = 14 * time.Millisecond
	tolerance          = 0.15 // of the time of a prompt token
)

func newEstimator(onChange func(estimator.Change)) *estimator.Estimator {
	return estimator.New(estimator.NewEstimate(defaultPromptToken, defaultOutputToken), onChange)
}

// engine is a simulated engine: its calls need a fixed time and a time per prompt
// token, and some of them take longer or shorter than their prompt explains.
type engine struct {
	perToken time.Duration
	fixed    time.Duration
	delayed  float64 // share of the calls that other prompts delay by up to their own time
	cached   float64 // share of the calls whose prompt was cached
	random   *rand.Rand
}

func (e *engine) prefill() estimator.Prefill {
	tokens := 200 + int(math.Exp(e.random.NormFloat64()*0.7+6.5))
	took := e.fixed + time.Duration(tokens)*e.perToken
	switch x := e.random.Float64(); {
	case x < e.cached:
		took = e.fixed + took/10
	case x < e.cached+e.delayed:
		took += time.Duration(e.random.Float64() * float64(took))
	}
	return estimator.NewPrefill(tokens, took)
}

func near(got, want time.Duration) bool {
	return math.Abs(float64(got-want)) <= tolerance*float64(want)
}

// Guards against decisions that take the speed of one deployment's engines for
// granted: the estimate must fit engines from a quarter to four times the speed that
// the defaults assume, with delayed and cached prompts among the samples.
func TestEngineSpeeds(t *testing.T) {
	tests := []struct {
		name            string
		factor          float64 // of the assumed speed
		delayed, cached float64
	}{
		{"a quarter of the assumed speed", 0.25, 0, 0},
		{"half of the assumed speed", 0.5, 0, 0},
		{"the assumed speed", 1, 0, 0},
		{"twice the assumed speed", 2, 0, 0},
		{"four times the assumed speed", 4, 0, 0},
		{"most prompts delayed", 1, 0.8, 0},
		{"fast engine, half of the prompts delayed", 4, 0.5, 0},
		{"some prompts cached", 1, 0, 0.05},
		{"delayed and cached prompts", 2, 0.6, 0.05},
	}
	for _, tt := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, seed), func(t *testing.T) {
				is := is.New(t)
				perToken := time.Duration(float64(defaultPromptToken) / tt.factor)
				e := engine{perToken: perToken, fixed: perToken * 40, delayed: tt.delayed, cached: tt.cached, random: rand.New(rand.NewPCG(seed, 1))}
				x, now := newEstimator(nil), time.Now()
				for range 100 {
					now = now.Add(50 * time.Millisecond)
					x.Observe("e1", "svc", e.prefill(), now)
				}
				got := x.Estimate("e1", "svc")
				is.True(got.Sure())
				is.True(near(got.PromptToken(), perToken))
				is.Equal(got.PrefillTime(1000), 1000*got.PromptToken())
			})
		}
	}
}

// Guards against one speed for all engines of a service, and against an engine
// without calls of its own that is estimated by the defaults although others of its
// service are known.
func TestMixedEngines(t *testing.T) {
	is := is.New(t)
	x, now := newEstimator(nil), time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	fast, slow := engine{perToken: 30 * time.Microsecond, random: random}, engine{perToken: 90 * time.Microsecond, random: random}
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		x.Observe("fast", "svc", fast.prefill(), now)
		x.Observe("slow", "svc", slow.prefill(), now)
	}
	is.True(near(x.Estimate("fast", "svc").PromptToken(), fast.perToken))
	is.True(near(x.Estimate("slow", "svc").PromptToken(), slow.perToken))
	unknown := x.Estimate("new", "svc")
	is.True(!unknown.Sure())
	is.True(unknown.PromptToken() < defaultPromptToken) // like the service
	is.Equal(x.Estimate("new", "other").PromptToken(), defaultPromptToken)
	is.Equal(x.Estimate("new", "other").GenerationTime(10), 10*defaultOutputToken)
}

// Guards against an engine that turned slow and gets as many calls as before, and
// against one that recovered and is not forgiven.
func TestDriftingEngine(t *testing.T) {
	is := is.New(t)
	var changes []estimator.Change
	x, now := newEstimator(func(c estimator.Change) { changes = append(changes, c) }), time.Now()
	e := engine{perToken: 40 * time.Microsecond, delayed: 0.3, random: rand.New(rand.NewPCG(1, 1))}
	run := func(calls int) time.Duration {
		for range calls {
			now = now.Add(50 * time.Millisecond)
			x.Observe("e1", "svc", e.prefill(), now)
		}
		return x.Estimate("e1", "svc").PromptToken()
	}
	is.True(near(run(100), 40*time.Microsecond))
	e.perToken = 120 * time.Microsecond
	is.True(near(run(24), 120*time.Microsecond)) // one second of calls
	e.perToken = 40 * time.Microsecond
	is.True(near(run(12), 40*time.Microsecond))
	is.Equal(len(changes), 3)
	is.Equal(changes[2].Engine(), "e1")
	is.True(changes[2].From().PromptToken() > 2*changes[2].To().PromptToken())
}

// Guards against an estimate that is based on calls of long ago.
func TestOldSamples(t *testing.T) {
	is := is.New(t)
	x, now := newEstimator(nil), time.Now()
	e := engine{perToken: 40 * time.Microsecond, random: rand.New(rand.NewPCG(1, 1))}
	for range 50 {
		x.Observe("e1", "svc", e.prefill(), now)
	}
	is.True(x.Estimate("e1", "svc").Sure())
	for range 4 {
		x.Observe("e1", "svc", e.prefill(), now.Add(time.Minute))
	}
	is.True(!x.Estimate("e1", "svc").Sure())
}

// Guards against samples from other hosts that cannot be true.
func TestInvalidSamples(t *testing.T) {
	is := is.New(t)
	x, now := newEstimator(nil), time.Now()
	for range 50 {
		x.Learn("e1", "svc", []estimator.Sample{
			estimator.NewPrefill(0, time.Second), estimator.NewPrefill(10, -time.Second),
			estimator.NewGeneration(0, time.Second, false), estimator.NewGeneration(10, 0, true), nil,
		}, now)
	}
	got := x.Estimate("e1", "svc")
	is.Equal(got.PromptToken(), defaultPromptToken)
	is.Equal(got.OutputToken(), defaultOutputToken)
	is.Equal(got.DecodePause(time.Second), time.Duration(0))
}

// Guards against a wrong estimate of how long an output takes, because callers'
// estimates of its length are often far off, and against pauses that are not answered
// by more time for generation.
func TestGenerations(t *testing.T) {
	is := is.New(t)
	x, now := newEstimator(nil), time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		tokens := 100 + random.IntN(200)
		expected := int(float64(tokens) * math.Exp(random.NormFloat64()*0.3))
		x.Observe("e1", "svc", estimator.NewGeneration(expected, time.Duration(tokens)*5*time.Millisecond, false), now)
	}
	got := x.Estimate("e1", "svc")
	is.True(got.OutputToken() > 4*time.Millisecond && got.OutputToken() < 7*time.Millisecond)
	is.Equal(got.DecodePause(time.Second), time.Duration(0))
	for range 5 {
		x.Observe("e1", "svc", estimator.NewGeneration(100, time.Second, true), now)
	}
	pause := x.Estimate("e1", "svc").DecodePause(time.Second)
	is.True(pause > 0)
	for range 10 {
		x.Observe("e1", "svc", estimator.NewGeneration(100, time.Second, false), now)
	}
	is.True(x.Estimate("e1", "svc").DecodePause(time.Second) < pause)
}

// Guards against an owner that learns from its own calls only, and against a restarted
// owner that does not learn what the other hosts know.
func TestSamplesForOwner(t *testing.T) {
	is := is.New(t)
	host, owner, now := newEstimator(nil), newEstimator(nil), time.Now()
	e := engine{perToken: 20 * time.Microsecond, random: rand.New(rand.NewPCG(1, 1))}
	for range 40 {
		host.Observe("e1", "svc", e.prefill(), now)
		owner.Learn("e1", "svc", host.Pending("e1"), now)
	}
	is.Equal(len(host.Pending("e1")), 0)
	is.True(near(owner.Estimate("e1", "svc").PromptToken(), e.perToken))

	restarted := newEstimator(nil)
	host.Resend("e1")
	kept := host.Pending("e1")
	is.True(len(kept) >= 8 && len(kept) <= 16) // enough, and bounded
	restarted.Learn("e1", "svc", kept, now)
	is.True(restarted.Estimate("e1", "svc").Sure())
	is.Equal(len(host.Pending("unknown")), 0)
}

// Guards against memory that grows with engines that are long gone, and against new
// engines that are not estimated because of them.
func TestPrune(t *testing.T) {
	is := is.New(t)
	x, now := newEstimator(nil), time.Now()
	observe := func(id string, now time.Time) { x.Observe(id, "svc", estimator.NewPrefill(100, time.Millisecond), now) }
	const engines = 6000 // more than are remembered
	for i := range engines {
		observe(fmt.Sprint("e", i), now)
	}
	remembered := 0
	for i := range engines {
		remembered += len(x.Pending(fmt.Sprint("e", i)))
	}
	is.True(remembered > 1000 && remembered < engines)

	later := now.Add(time.Hour)
	observe("new", later) // makes room
	is.Equal(len(x.Pending("new")), 1)
	x.Resend("e0")
	is.Equal(len(x.Pending("e0")), 0)
	x.Prune(later.Add(time.Hour))
	x.Resend("new")
	is.Equal(len(x.Pending("new")), 0)
}

// Guards against an estimate of adapter loads that holds for one weight store only,
// and against one that stays high after other hosts' loads have ended.
func TestLoads(t *testing.T) {
	for _, actual := range []time.Duration{30 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		t.Run(actual.String(), func(t *testing.T) {
			is := is.New(t)
			l := estimator.NewLoads(270 * time.Millisecond)
			late := 0
			run := func(loads int, took time.Duration) {
				late = 0
				for range loads {
					if l.Cold() < took {
						late++
						l.Late()
					}
					l.Accepted()
				}
			}
			run(4000, actual)
			run(1000, actual)
			is.True(late <= 50) // one load in twenty
			is.True(l.Cold() >= actual*9/10 && l.Cold() <= actual*3/2)
			is.True(l.Warm() < l.Cold()/2)
			run(100, 3*actual) // crowded
			is.True(l.Cold() > 2*actual)
			run(150, actual)
			is.True(l.Cold() <= actual*3/2)
		})
	}
}

func ExampleEstimator() {
	x := estimator.New(estimator.NewEstimate(50*time.Microsecond, 14*time.Millisecond), nil)
	now := time.Now()
	for i := range 20 {
		tokens := 500 + 50*i
		x.Observe("engine-1", "reader", estimator.NewPrefill(tokens, time.Duration(tokens)*25*time.Microsecond), now)
	}
	fmt.Println(x.Estimate("engine-1", "reader").PrefillTime(1000))
	fmt.Println(x.Estimate("engine-9", "other").PrefillTime(1000))
	// Output:
	// 25ms
	// 50ms
}
