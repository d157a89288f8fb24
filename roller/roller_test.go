package roller_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Guards against an accepted bundle that does not reach every region within the
// design target, and against a repeated roll-out that creates a new epoch.
func TestInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		is.Equal(c.mustRollOut("1").Epoch(), uint64(1))
		c.mustServe(1)
		is.Equal(c.mustRollOut("2").Epoch(), uint64(2))
		c.mustServe(2)
		again, err := c.operator("ana").RollOut(t.Context(), c.plan("2"))
		is.NoErr(err)
		in, ok := again.(roller.AlreadyInForce)
		is.True(ok)
		is.Equal(in.Record().Epoch(), uint64(2))
		status, err := c.operator("ana").Status(t.Context())
		is.NoErr(err)
		is.True(status.Converged())
		is.True(c.asserts.Checks(asserter.EpochNeverFalls) > 0)
	})
}

// Guards against a rollback that reuses an epoch, or that accepts a version
// that was never accepted before or whose signing key is revoked.
func TestRollBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.mustRollOut("1")
		c.mustRollOut("2")
		result, err := c.operator("ana").RollBack(t.Context(), "1", roller.Plan{})
		is.NoErr(err)
		accepted, ok := result.(roller.Accepted)
		is.True(ok)
		is.Equal(accepted.Record().Epoch(), uint64(3))
		c.mustServe(3)
		is.Equal(c.nodes[0].bundles().Load().Current().Version(), "1")

		_, err = c.operator("ana").RollBack(t.Context(), "9", roller.Plan{})
		is.True(errors.Is(err, roller.ErrNoVersion))
		revoked := roller.New(c.table, c.objects, c, bundler.NewKeys(nil, "a"), "ana")
		_, err = revoked.RollBack(t.Context(), "2", roller.Plan{})
		is.True(errors.Is(err, bundler.ErrRevoked))

		history, err := c.operator("ana").History(t.Context(), 2)
		is.NoErr(err)
		is.Equal(len(history), 2)
		is.Equal(history[0].Version()+history[1].Version(), "12")
	})
}

// Guards against accepting one version with two contents, which would make a
// rollback to it ambiguous, and against ignoring a misspelt excluded region.
func TestRefusedPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.mustRollOut("1")
		content := document(t, "1", "other")
		m := content.Manifest()
		signed := bundler.NewSigned(m, bundler.Sign(bundler.RoleAuthor, "a", c.author, m), bundler.Sign(bundler.RoleReviewer, "r", c.reviewer, m))
		_, err := c.operator("ana").RollOut(t.Context(), roller.NewPlan(signed, content.Part))
		is.True(errors.Is(err, roller.ErrVersionTaken))
		_, err = c.operator("ana").RollOut(t.Context(), c.plan("2").Excluding("xx"))
		is.True(errors.Is(err, roller.ErrUnknownRegion))
	})
}

// Guards against a lost response to a commit that makes the roller report a
// wrong outcome, or accept the bundle under two epochs.
func TestAnswerLost(t *testing.T) {
	lost := func(apply func() error) error {
		_ = apply()
		return storer.ErrUncertain
	}
	never := func(func() error) error { return storer.ErrUncertain }
	down := func(func() error) error { return storer.ErrUnavailable }
	late := func(apply func() error) error {
		go func() {
			time.Sleep(time.Second)
			_ = apply()
		}()
		return storer.ErrUncertain
	}
	type fault = func(apply func() error) error
	cases := []struct {
		name   string
		faults map[int]fault
	}{
		{"prepared, response lost", map[int]fault{1: lost}},
		{"not prepared, response lost", map[int]fault{1: never}},
		{"prepared late", map[int]fault{1: late}},
		{"table down at prepare", map[int]fault{1: down}},
		{"accepted, response lost", map[int]fault{2: lost}},
		{"not accepted, response lost", map[int]fault{2: never}},
		{"accepted late", map[int]fault{2: late}},
		{"table down at acceptance", map[int]fault{2: down}},
		{"both responses lost", map[int]fault{1: lost, 3: lost}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t)
				operator := c.operatorWithTable(&faultyTable{Table: c.table, faults: tc.faults}, "ana")
				result, err := operator.RollOut(t.Context(), c.plan("1"))
				is.NoErr(err)
				_, isAccepted := result.(roller.Accepted)
				is.True(isAccepted)
				c.mustServe(1)
				time.Sleep(5 * time.Second) // until the delayed commits are applied
				history, err := operator.History(t.Context(), 10)
				is.NoErr(err)
				is.Equal(len(history), 1)
				c.mustServe(1)
			})
		})
	}
}

// Guards against a roll-out that never returns while the table is down, and
// against reporting an acceptance of unknown outcome as a failure or a success.
func TestTableStaysDown(t *testing.T) {
	cases := []struct {
		name string
		from int // first commit that fails because the table is down; 0 for the first read
		want error
	}{
		{"from the start", 0, storer.ErrUnavailable},
		{"at preparation", 1, roller.ErrUnknownOutcome},
		{"at acceptance", 2, roller.ErrUnknownOutcome},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t)
				down := func(func() error) error {
					is.NoErr(c.table.Inject(emulator.Down{}))
					return storer.ErrUncertain
				}
				if tc.from == 0 {
					_ = down(nil)
				}
				table := &faultyTable{Table: c.table, faults: map[int]func(func() error) error{tc.from: down}}
				began := time.Now()
				_, err := c.operatorWithTable(table, "ana").RollOut(t.Context(), c.plan("1"))
				is.True(errors.Is(err, tc.want))
				is.True(time.Since(began) < 30*time.Second)
				c.table.Clear()
				c.mustRollOut("1") // the unfinished roll-out is resumed
				c.mustServe(1)
			})
		})
	}
}

// Guards against two concurrent roll-outs that are both reported as accepted,
// and against a conflict that does not name the other operator.
func TestTwoOperators(t *testing.T) {
	for i := range 20 {
		t.Run(fmt.Sprintf("offset %d ms", i*5), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t)
				c.mustRollOut("0")
				var group sync.WaitGroup
				results := make([]roller.Result, 2)
				for k, name := range []string{"ana", "bor"} {
					group.Go(func() {
						time.Sleep(time.Duration(k*i) * 5 * time.Millisecond)
						results[k], _ = c.operator(name).RollOut(t.Context(), c.plan(name))
					})
				}
				group.Wait()
				winner := slices.IndexFunc(results, func(r roller.Result) bool { _, ok := r.(roller.Accepted); return ok })
				is.True(winner >= 0)
				conflict, ok := results[1-winner].(roller.Conflict)
				is.True(ok)
				is.Equal(conflict.Other().Operator(), []string{"ana", "bor"}[winner])
				is.True(strings.Contains(conflict.String(), "is not in force"))
				c.mustServe(2)
			})
		})
	}
}

// Guards against an unfinished roll-out, for example of an operator's process
// that ended, that blocks all others for ever, and against a roll-out that
// comes into force after it was replaced.
func TestReplaceUnfinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.mustRollOut("0")
		for _, n := range c.nodes[4:] { // region kp blocks the first roll-out
			n.disconnect()
		}
		time.Sleep(leaseTime)
		first := make(chan roller.Result, 1)
		go func() {
			result, _ := c.operator("ana", roller.WithTimeout(time.Minute)).RollOut(t.Context(), c.plan("1"))
			first <- result
		}()
		time.Sleep(5 * time.Second)
		second, err := c.operator("bor").RollOut(t.Context(), c.plan("2").Excluding("kp"))
		is.NoErr(err)
		_, isConflict := second.(roller.Conflict)
		is.True(isConflict)
		second, err = c.operator("bor").RollOut(t.Context(), c.plan("2").Excluding("kp").Replacing())
		is.NoErr(err)
		_, isAccepted := second.(roller.Accepted)
		is.True(isAccepted)
		for _, n := range c.nodes[4:] {
			n.reconnect()
		}
		conflict, ok := (<-first).(roller.Conflict)
		is.True(ok)
		is.Equal(conflict.Other().Operator(), "bor")
		c.mustServe(3)
	})
}

// Guards against a roll-out that ignores a region without live nodes, and
// against its withdrawn record blocking the next roll-out.
func TestRegionMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.mustRollOut("1")
		c.mustServe(1)
		for _, n := range c.nodes[4:] {
			n.disconnect()
		}
		time.Sleep(leaseTime)
		result, err := c.operator("ana").RollOut(t.Context(), c.plan("2"))
		is.NoErr(err)
		notPrepared, ok := result.(roller.NotPrepared)
		is.True(ok)
		is.Equal(notPrepared.Regions(), []string{"kp"})
		time.Sleep(2 * time.Second)
		is.Equal(c.nodes[0].bundles().Load().Prepared(), nil) // the withdrawn bundle is discarded
		result, err = c.operator("bor").RollOut(t.Context(), c.plan("3").Excluding("kp"))
		is.NoErr(err)
		is.True(strings.Contains(result.String(), "regions not waited for, which may still serve the previous bundle: kp"))
		is.Equal(c.nodes[4].epoch(), uint64(1))
		for _, n := range c.nodes[4:] {
			n.reconnect()
		}
		c.mustServe(3)
	})
}

// Guards against a region that is cut off between preparation and acceptance
// and keeps serving adapters that the accepted bundle changes.
func TestRegionCutOffWhilePrepared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.mustRollOut("1")
		c.mustServe(1)
		disconnect := func(apply func() error) error {
			for _, n := range c.nodes[4:] {
				n.disconnect()
			}
			return apply()
		}
		operator := c.operatorWithTable(&faultyTable{Table: c.table, faults: map[int]func(func() error) error{2: disconnect}}, "ana")
		result, err := operator.RollOut(t.Context(), c.plan("2"))
		is.NoErr(err)
		_, isAccepted := result.(roller.Accepted)
		is.True(isAccepted)
		time.Sleep(4 * time.Second)
		for _, n := range c.nodes[4:] {
			state := n.bundles().Load()
			is.True(!state.UpToDate())
			is.Equal(state.Current().Epoch(), uint64(1))
			is.Equal(state.Prepared().Epoch(), uint64(2))
			is.True(bundler.Differs(state.Current(), state.Prepared(), bundler.NewAdapterSubject("signature-reading")))
			is.True(!bundler.Differs(state.Current(), state.Prepared(), bundler.NewAdapterSubject("amount-reading")))
		}
		is.True(c.nodes[0].bundles().Load().UpToDate())
		for _, n := range c.nodes[4:] {
			n.reconnect()
		}
		c.mustServe(2)
		is.True(c.nodes[5].bundles().Load().UpToDate())
	})
}

// Guards against a node without access to the table that counts as out of date
// although a peer has contact, and against nodes that keep confirming each
// other when none of them has contact.
func TestInformedByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.mustRollOut("1")
		c.mustServe(1)
		n := c.nodes[0]
		n.networkFault.Refuse() // only the platform is cut off; peers are reachable
		time.Sleep(20 * time.Second)
		is.True(n.bundles().Load().UpToDate())
		is.NoErr(c.table.Inject(emulator.Down{}))
		time.Sleep(4 * time.Second)
		for _, n := range c.nodes {
			is.True(!n.bundles().Load().UpToDate())
		}
	})
}

// Guards against a new node that cannot get the bundle from its peers while the
// platform is down.
func TestEmptyNodeWithoutStore(t *testing.T) {
	cases := []struct {
		name  string
		fault func(c *cluster) error
	}{
		{"object store down", func(c *cluster) error { return c.objects.Inject(emulator.Down{}) }},
		{"object store hangs", func(c *cluster) error { return c.objects.Inject(emulator.NewSlow(time.Hour)) }},
		{"table and object store down", func(c *cluster) error {
			return errors.Join(c.table.Inject(emulator.Down{}), c.objects.Inject(emulator.Down{}))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t)
				c.mustRollOut("1")
				c.mustServe(1)
				is.NoErr(tc.fault(c))
				c.start("lj-3", "lj")
				c.mustServe(1)
			})
		})
	}
}

// Guards against an epoch that decreases at a node under any order of
// roll-outs, rollbacks, outages, disconnections and restarts, and against nodes
// that serve different epochs after all faults have ended.
func TestEpochNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Uint64(), 5, 25).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(t *testing.T) { fault = randomRun(t, steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func randomRun(t *testing.T, steps []uint64) string {
	c := newCluster(t)
	c.mustRollOut("0")
	seen := make(map[*node]uint64)
	var group sync.WaitGroup
	for i, s := range steps {
		n := c.nodes[s/16%6]
		switch s % 16 {
		case 0, 1, 2, 3, 4:
			group.Go(func() {
				plan := c.plan(fmt.Sprintf("s%d", i))
				if s/96%2 == 0 {
					plan = plan.Replacing()
				}
				if s/192%2 == 0 {
					plan = plan.Excluding(n.region)
				}
				_, _ = c.operator(fmt.Sprintf("o%d", i)).RollOut(t.Context(), plan)
			})
		case 5, 6:
			group.Go(func() { _, _ = c.operator(fmt.Sprintf("o%d", i)).RollBack(t.Context(), "0", roller.Plan{}) })
		case 7, 8:
			n.disconnect()
		case 9, 10:
			n.reconnect()
		case 11:
			_ = c.table.Inject(emulator.Down{})
		case 12:
			_ = c.objects.Inject(emulator.Down{})
		case 13:
			c.table.Clear()
			c.objects.Clear()
			_ = c.table.Inject(emulator.NewAnswerLost(2, 0.1))
		case 14:
			n.restart()
			seen[n] = 0
		}
		time.Sleep(time.Duration(s/1000%4000) * time.Millisecond)
		for _, n := range c.nodes {
			if e := n.epoch(); e < seen[n] {
				return fmt.Sprintf("node %s went back from epoch %d to %d", n.name, seen[n], e)
			} else {
				seen[n] = e
			}
		}
	}
	c.table.Clear()
	c.objects.Clear()
	for _, n := range c.nodes {
		n.reconnect()
	}
	group.Wait()
	record, _, err := c.operator("last").InForce(t.Context())
	if err != nil {
		return err.Error()
	}
	time.Sleep(inForceLimit)
	for _, n := range c.nodes {
		if n.epoch() != record.Epoch() || !n.bundles().Load().UpToDate() {
			return fmt.Sprintf("node %s serves epoch %d, want %d", n.name, n.epoch(), record.Epoch())
		}
	}
	return ""
}
