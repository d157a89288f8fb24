package allotter_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/classifier"
)

// Guards against hosts that each let one call pass, which together exceed a small quota: at the
// quota owner, and when all hosts are cut off from each other and count for themselves.
func TestOneCallEach(t *testing.T) {
	const small = 2000.0
	for _, isolated := range []bool{false, true} {
		inCluster(t, hostCount, func(c *cluster) {
			if isolated {
				c.isolateAll()
			}
			began := time.Now()
			for _, h := range c.running() {
				go c.call(h, "w", meanTokens)
			}
			time.Sleep(2 * callerTimeout)
			c.checkBound("w", small, small, began)
		}, workspace("w", small, small))
	}
}

// Guards against a limit that is lowered far below the demand and is not kept one window after
// all hosts are connected again, and against hosts that go on with the old one for long.
func TestLoweredLimit(t *testing.T) {
	inCluster(t, hostCount, func(c *cluster) {
		const lowered, connectTime = rate / 10, 4 * time.Second
		go c.load("w", 30*time.Second, constant(surge), nil)
		for region := range regionCount {
			c.cut(region, region > 0, c.names(inRegion(region))...)
		}
		time.Sleep(2 * time.Second)
		c.configure(2, workspace("w", lowered, lowered))
		time.Sleep(6 * time.Second)
		c.cut(0, false, c.names(everyone)...)
		healed := time.Now()
		time.Sleep(22 * time.Second)
		c.checkBound("w", lowered, lowered, healed.Add(connectTime+window))
		if after := c.mostInWindow("w", healed.Add(connectTime)); after > (lowered*window.Seconds()+lowered)*(1+over)+slack {
			c.t.Logf("%.0f in a window that begins when all hosts have been connected for %v", after, connectTime)
		}
	}, workspace("w", rate, burst))
}

// Guards against tokens that are lost with calls that did not run, on the host of the bucket and
// on others, and against calls that may have run and get theirs back.
func TestReturns(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		is := is.New(c.t)
		owner, notRun := c.owner("w"), classifier.NewUnavailable("no endpoint")
		attempt := func(h *host, fault error) error {
			c.mu.Lock()
			c.fault = fault
			c.mu.Unlock()
			return c.try(h, "w", 900)
		}
		refused := func(err error) bool {
			var exceeded *classifier.QuotaExceeded
			return errors.As(err, &exceeded)
		}
		for _, h := range c.running() {
			for range 3 {
				is.Equal(attempt(h, notRun), notRun) // the next call takes the tokens back with it
			}
			time.Sleep(1100 * time.Millisecond) // or a delegation does
		}
		is.Equal(len(c.ran["w"]), 0)
		is.NoErr(attempt(owner, nil))
		is.True(refused(attempt(owner, nil)))

		time.Sleep(1000 * time.Second)
		mayHaveRun := classifier.NewUncertain("broke off")
		is.Equal(attempt(owner, mayHaveRun), mayHaveRun)
		time.Sleep(2 * time.Second)
		is.True(refused(attempt(owner, nil)))
	}, workspace("w", 1, 1000))
}

// Guards against a message for each refused call, against a small call that is refused because a
// large one was, and against a refusal that outlasts the empty bucket.
func TestRecentRefusal(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		is := is.New(c.t)
		var h *host
		for _, one := range c.running() {
			if one != c.owner("w") {
				h = one
			}
		}
		is.NoErr(c.try(h, "w", 900))
		for range 100 {
			wait := classifier.Of(c.try(h, "w", 800)).RetryAfter()
			is.True(wait > 0 && wait <= 8*time.Second)
		}
		is.Equal(c.sources[allotter.Owner{}], 2)
		is.Equal(c.sources[allotter.Cached{}], 99)
		is.NoErr(c.try(h, "w", 50)) // costs less
		time.Sleep(100 * time.Millisecond)
		is.True(c.try(h, "w", 800) != nil)
		is.Equal(c.sources[allotter.Owner{}], 4) // asked again
		time.Sleep(time.Second)
		is.NoErr(c.try(h, "w", 800))
	}, workspace("w", 1000, 1000))
}

// Guards against a stage that counts calls without a workspace or without a quota.
func TestUnlimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, workspace("w", 0, 0))
		for range 100 {
			is.NoErr(c.try(c.anyHost(nil), "w", 1_000_000))
		}
		is.Equal(len(c.sources), 0)
	})
}

// Guards against hosts that start with an empty store and each take themselves for the quota
// owner until they have read the rows of the others.
func TestFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, hostCount, workspace("w", rate, burst))
		began := time.Now()
		go c.load("w", 10*time.Second, constant(surge), nil)
		time.Sleep(12 * time.Second)
		c.checkBound("w", rate, burst, began)
	})
}

// BenchmarkGrant measures what the call of another host costs the owner of a quota, without the
// message.
func BenchmarkGrant(b *testing.B) {
	const unlimited = 1e12
	c := newCluster(b, 1, workspace("w", unlimited, unlimited))
	h := c.anyHost(nil)
	terms := accountant.NewTerms(1, unlimited, unlimited)
	requests := make([]allotter.Request, 300)
	for i := range requests {
		requests[i] = allotter.NewRequest(hostName(i), "w", terms, meanTokens)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := h.quotas.Grant(requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
	}
}
