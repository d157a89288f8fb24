package leaser_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/server"
)

var (
	_ roller.Nodes   = (*leaser.Reader)(nil)
	_ server.Entries = (*leaser.Entries)(nil)
)

// Guards against plans that move engines without need, leave them without an
// owner, distribute them unevenly, take them from a live owner or reuse a
// token.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := &leaser.Assignment{}
		terms := make([]uint64, 6)
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			var live []leaser.Candidate
			alive := make(map[leaser.Holder]bool)
			receivers := 0
			for i := range terms {
				state := rapid.IntRange(0, 5).Draw(t, "state") // 0 dead, 1 draining, 2 live again with a new lease
				h := leaser.NewHolder(fmt.Sprint(i), "x", terms[i])
				if state == 2 {
					terms[i]++
					h = leaser.NewHolder(fmt.Sprint(i), "x", terms[i])
				}
				if state > 0 {
					live = append(live, leaser.NewCandidate(h, state == 1))
					alive[h] = state > 1
				}
				if state > 1 {
					receivers++
				}
			}
			var names []string
			for i := range rapid.IntRange(0, 12).Draw(t, "engines") {
				names = append(names, fmt.Sprint("e", i))
			}
			engines := leaser.NewEngines(current.Epoch()+1, names)
			next, changed := leaser.Plan(current, live, engines, func(leaser.Holder) bool { return true })
			again, more := leaser.Plan(next, live, engines, func(leaser.Holder) bool { return true })
			if more {
				t.Fatalf("a second plan differs: %v, then %v", next, again)
			}
			check(t, current, next, alive, receivers, len(names))
			kept, _ := leaser.Plan(current, live, engines, func(leaser.Holder) bool { return false })
			for _, e := range current.Entries() {
				if after, ok := kept.Entry(e.Engine()); !e.Owner().IsZero() && (!ok || after != e) {
					t.Fatalf("%v was taken from its owner", e)
				}
			}
			if changed {
				encoded, err := next.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if current, err = leaser.DecodeAssignment(encoded); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

func check(t *rapid.T, current, next *leaser.Assignment, alive map[leaser.Holder]bool, receivers, engines int) {
	if len(next.Entries()) != engines {
		t.Fatalf("%d entries for %d engines", len(next.Entries()), engines)
	}
	count := make(map[leaser.Holder]int)
	for _, e := range next.Entries() {
		old, ok := current.Entry(e.Engine())
		if ok && old.Owner() != e.Owner() && e.Token() <= old.Token() {
			t.Fatalf("the token of %v does not grow from %v", e, old)
		}
		if receivers > 0 && !alive[e.Owner()] {
			t.Fatalf("%v has no live owner", e)
		}
		count[e.Owner()]++
	}
	for h, n := range count {
		if receivers > 0 && n > (engines+receivers-1)/receivers {
			t.Fatalf("%v owns %d of %d engines with %d nodes", h, n, engines, receivers)
		}
	}
	for _, e := range current.Entries() {
		after, ok := next.Entry(e.Engine())
		if ok && receivers > 0 && alive[e.Owner()] && after.Owner() != e.Owner() && count[e.Owner()] < engines/receivers {
			t.Fatalf("%v moved although its owner has too few", e)
		}
	}
}

// Guards against a node with an older bundle that removes engines of a newer
// one.
func TestPlanEpochs(t *testing.T) {
	is := is.New(t)
	live := []leaser.Candidate{leaser.NewCandidate(leaser.NewHolder("a", "x", 1), false)}
	all := func(leaser.Holder) bool { return true }
	a, _ := leaser.Plan(&leaser.Assignment{}, live, leaser.NewEngines(5, []string{"e1", "e2"}), all)
	_, changed := leaser.Plan(a, live, leaser.NewEngines(4, []string{"e1"}), all)
	is.True(!changed)
	b, changed := leaser.Plan(a, live, leaser.NewEngines(6, []string{"e1"}), all)
	is.True(changed)
	is.Equal(len(b.Entries()), 1)
}

// Guards against malformed rows that crash the node that reads them.
func FuzzDecodeAssignment(f *testing.F) {
	live := []leaser.Candidate{leaser.NewCandidate(leaser.NewHolder("a", "x", 1), false)}
	a, _ := leaser.Plan(&leaser.Assignment{}, live, leaser.NewEngines(5, []string{"e1", "e2"}), func(leaser.Holder) bool { return true })
	seed, err := a.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, value []byte) {
		a, err := leaser.DecodeAssignment(value)
		if err != nil {
			if !errors.Is(err, leaser.ErrMalformed) {
				t.Error(err)
			}
			return
		}
		if _, err := a.Encode(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against callers that are sent to draining or dead nodes, and against a
// rollout that waits for dead nodes or misses live ones.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, "a", "b", "c", "d")
		defer c.close()
		nodes := c.all()
		nodes[0].SetEpochs(7, 8)
		time.Sleep(5 * time.Second)
		is.NoErr(nodes[1].Drain(t.Context()))
		nodes[2].kill()
		is.NoErr(nodes[3].Close(t.Context()))
		time.Sleep(4 * lease) // past the time in which new members take nothing over
		m := nodes[0].Membership()
		is.Equal(len(m.Members()), 2)
		b, ok := m.Member("b")
		is.True(ok && b.Draining() && b.InContact())
		owner, ok := m.Owner("e0")
		is.True(ok && owner.Name() == "a")
		is.Equal(owner.PeerAddress(), "a:2")
		is.True(nodes[0].Expired(nodes[2].ID()) && nodes[0].Expired(nodes[3].ID()) && !nodes[0].Expired(nodes[1].ID()))
		list := nodes[0].Entries().Load()
		is.Equal(list, server.NewEntryList("lj", "lj1", []server.Entry{server.NewEntry("a", "a:1", "lj", "lj1")}))

		read, err := leaser.NewReader(c.table, leaser.Settings{}).List(t.Context())
		is.NoErr(err)
		first := slices.IndexFunc(read, func(n roller.Node) bool { return n.Name() == "a" })
		is.Equal(read[first], roller.NewNode("a", "lj", 8, 7, true))
		live := 0
		for _, n := range read {
			if n.Live() {
				live++
			}
		}
		is.Equal(live, 2)
	})
}

// Guards against a changed epoch that is not written before the next renewal,
// which would delay a rollout, and against one write for each of many changes.
func TestEpochWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, "a", "b")
		defer c.close()
		time.Sleep(10 * time.Second)
		n := c.all()[0]
		before := c.table.Counters().Commits()
		for i := range uint64(100) {
			n.SetEpochs(i, i+1)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(c.table.Counters().Commits()-before <= 6) // four per second, and the renewals of b
		time.Sleep(2 * leaser.DefaultScan)
		m, _ := c.all()[1].Membership().Member("a")
		is.Equal(m.Prepared(), uint64(100))
		began := time.Now()
		n.SetEpochs(200, 200)
		c.waitUntil(300*time.Millisecond+leaser.DefaultScan*11/10, "the new epoch at the other node", func() bool {
			m, _ := c.all()[1].Membership().Member("a")
			return m.InForce() == 200
		})
		is.True(time.Since(began) < leaser.DefaultLease/3)
	})
}

// Guards against two processes with the same name that are both active, for
// example after a faulty replacement: the second must wait until the lease of
// the first has ended.
func TestNameInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 2, "a")
		defer c.close()
		c.waitEvenShares(2, "a")
		first, second := c.all()[0], c.start("a")
		time.Sleep(time.Minute)
		is.Equal(len(first.Owned()), 2)
		is.True(!second.LeaseValid())
		is.NoErr(first.Close(context.Background()))
		took := c.waitUntil(2*leaser.DefaultScan, "the second process", func() bool { return len(second.Owned()) == 2 })
		is.True(took < 2*leaser.DefaultScan)
		is.True(second.Expired(first.ID()) && !second.Expired(second.ID()))
		is.NoErr(c.table.Inject(emulator.Down{}))
	})
}

func BenchmarkFence(b *testing.B) {
	l := leaser.New(leaser.NewIdentity("a", "", "", "lj", "lj1"), emulator.NewTable(), emulator.NewHostList(),
		leaser.WithEngines(func() leaser.Engines { return leaser.NewEngines(1, []string{"e0"}) }))
	defer l.Abandon()
	for len(l.Owned()) == 0 {
		<-l.Changed()
	}
	engine := l.Engine("e0")
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := engine.Fence(); err != nil {
				b.Error(err)
			}
		}
	})
}

// Guards against engines assigned to a node that has no bundle and therefore
// cannot serve them.
func TestNoBundle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4, "a", "b")
		defer c.close()
		nodes := c.all()
		nodes[1].SetEpochs(0, 0)
		time.Sleep(3 * lease)
		is.Equal(len(nodes[0].Owned()), 4)
		is.Equal(len(nodes[1].Owned()), 0)
		nodes[1].SetEpochs(1, 1)
		time.Sleep(lease)
		is.Equal(len(nodes[0].Owned()), 2)
		is.Equal(len(nodes[1].Owned()), 2)
	})
}
