package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/replicator"
)

// Guards against a record that ends with the host at which the stream began and one more,
// and against hosts that are asked or told without a bound.
func TestRecordOutlivesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 30)
		for i := range 100 {
			stream := fmt.Sprint("stream", i)
			is.NoErr(<-hosts[i%30].Replicate(replicator.NewRecord("s", stream, "v2")))
			synctest.Wait()
			c.setDown(true, i%30, (i+1)%30)
			found, absent := find(t, hosts[(i+2)%30], stream)
			is.True(found > 0)
			is.Equal(found+absent, 5)
			c.setDown(false, i%30, (i+1)%30)
		}
		is.True(c.count() <= 100*(4+5))
		found, absent := find(t, hosts[0], "unknown")
		is.Equal(found, 0)
		is.Equal(absent, 5)
	})
}

// Guards against a record that counts as kept although no other host has it.
func TestTooFewCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 4)
		c.setDown(true, 2, 3)
		is.True(<-hosts[0].Replicate(replicator.NewRecord("s", "a", "v2")) != nil) // one host of three
		is.True(<-hosts[0].ReplicateToAll(replicator.NewRecord("s", "b", "v2")) != nil)
		c.setDown(false, 2)
		is.NoErr(<-hosts[0].Replicate(replicator.NewRecord("s", "c", "v2")))
		is.True(<-hosts[0].ReplicateToAll(replicator.NewRecord("s", "d", "v2")) != nil)
		c.setDown(false, 3)
		is.NoErr(<-hosts[0].ReplicateToAll(replicator.NewRecord("s", "e", "v2")))
		synctest.Wait()

		_, alone := newCluster(t, 1)
		is.Equal(<-alone[0].Replicate(replicator.NewRecord("s", "a", "v2")), replicator.ErrAlone)
		is.Equal(<-alone[0].ReplicateToAll(replicator.NewRecord("s", "b", "v2")), replicator.ErrAlone)
		for _, h := range append(hosts, alone...) {
			h.Close()
		}
	})
}

// Guards against shared records that are told one by one, and against records that are kept
// for ever.
func TestShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 5)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { hosts[0].Run(ctx); close(done) }()
		for i := range 100 {
			hosts[0].Share(replicator.NewRecord("s", fmt.Sprint("stream", i), "v1"))
		}
		time.Sleep(time.Second)
		cancel()
		<-done
		is.Equal(c.count(), 4)
		is.Equal(len(hosts[0].Responsible()), 100)
		found, _ := find(t, hosts[3], "stream7")
		is.Equal(found, 5)

		time.Sleep(lifetime + time.Second)
		is.Equal(len(hosts[0].Responsible()), 0)
		is.Equal(hosts[3].Answer("s", replicator.Key("s", "stream7")), pinner.NewAbsent(pinner.NewComplete(lifetime)))
	})
}

// Guards against shared records that are lost in a planned stop.
func TestShareAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, hosts := newCluster(t, 5)
		ctx, cancel := context.WithCancel(t.Context())
		hosts[0].Share(replicator.NewRecord("s", "last", "v1"))
		cancel()
		hosts[0].Run(ctx)
		hosts[0].Close()
		found, _ := find(t, hosts[3], "last")
		is.Equal(found, 5)
	})
}

// Guards against a host that says that a stream has no record although it had to drop some.
func TestFullMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, hosts := newCluster(t, 1)
		for i := range 32768 {
			hosts[0].Keep([]replicator.Record{replicator.NewRecord("s", fmt.Sprint(i), "v1")})
		}
		is.Equal(hosts[0].Answer("s", "none"), pinner.NewAbsent(pinner.NewComplete(lifetime)))
		time.Sleep(time.Second)
		hosts[0].Keep([]replicator.Record{replicator.NewRecord("s", "one more", "v1")})
		is.Equal(hosts[0].Answer("s", "none"), pinner.NewAbsent(pinner.NewComplete(time.Second)))
	})
}

// Guards against records that end with their keepers although their streams go on: hosts
// that end one after the other leave fewer and fewer copies.
func TestKeepersEndInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 8)
		for _, h := range hosts {
			run(t, h)
		}
		for i := range 40 {
			is.NoErr(<-hosts[0].Replicate(replicator.NewRecord("s", fmt.Sprint("stream", i), "v2")))
		}
		time.Sleep(5 * time.Second)
		before := c.count()
		for i := range hosts {
			hosts[i] = c.replace(t, i, coverage{})
			run(t, hosts[i])
			time.Sleep(2 * time.Second)
		}
		is.True(c.count()-before <= 8*2*7*7) // at each change one batch of each host to each other one
		for i := range 40 {
			found, absent := find(t, hosts[i%8], fmt.Sprint("stream", i))
			is.Equal(found, 5)
			is.Equal(absent, 0)
		}
		time.Sleep(lifetime) // copies of copies are as old as the first one
		found, _ := find(t, hosts[0], "stream0")
		is.Equal(found, 0)
	})
}

// Guards against shared records that are dropped while no other host is known, as just
// after a restore of the store.
func TestShareAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 1)
		run(t, hosts[0])
		hosts[0].Share(replicator.NewRecord("s", "first", "v1"))
		time.Sleep(2 * time.Second)
		c.start(t, 1, coverage{})
		time.Sleep(time.Second)
		found, _ := find(t, hosts[0], "first")
		is.Equal(found, 2)
	})
}

// Guards against a host that starts and claims to lack no record before others have sent
// theirs, and against one that lacks records for a stream's lifetime although others have
// sent them.
func TestCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 6)
		for _, h := range hosts[1:] {
			run(t, h)
		}
		for i := range 20 {
			is.NoErr(<-hosts[0].Replicate(replicator.NewRecord("s", fmt.Sprint("stream", i), "v2")))
		}
		time.Sleep(5 * time.Second)
		started := time.Now()
		h := c.replace(t, 0, coverage{started: started, behind: true})
		c.setDown(true, 1, 2)
		_, ok := h.CatchUp(t.Context())
		is.True(!ok) // the others have not sent their records
		time.Sleep(time.Second)
		_, ok = h.CatchUp(t.Context())
		is.True(!ok) // two hosts do not answer
		c.setDown(false, 2)
		time.Sleep(2 * time.Second)
		from, ok := h.CatchUp(t.Context())
		is.True(ok) // one host may have ended
		is.True(!from["s"].After(time.Now().Add(-lifetime)))
		c.setDown(false, 1)
		time.Sleep(2 * time.Second)
		for i := range 20 {
			found, _ := find(t, h, fmt.Sprint("stream", i))
			is.Equal(found, 5)
		}
	})
}

// Guards against hosts that start together and count each other's empty memories as proof,
// and that wait for each other for ever.
func TestCatchUpTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 6)
		for _, h := range hosts[3:] {
			run(t, h)
		}
		started := time.Now()
		for i := range 3 {
			hosts[i] = c.replace(t, i, coverage{started: started, behind: true})
			run(t, hosts[i])
		}
		for range 12 {
			time.Sleep(time.Second)
			from, ok := hosts[0].CatchUp(t.Context())
			is.Equal(ok, time.Since(started) > 10*time.Second)
			is.True(!ok || !from["s"].Before(started))
		}
	})
}

func ExampleKey() {
	fmt.Println(len(replicator.Key("chat", "an id of any length")))
	// Output:
	// 32
}
