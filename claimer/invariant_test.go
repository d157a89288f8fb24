package claimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Guards against an undetected violation of an invariant by the dispatcher or the
// table. The name of each case says which of them is at fault.
func TestViolationsAreDetected(t *testing.T) {
	reply := connector.NewReply("a", 200, "text/plain", []byte("ok"))
	finish := func(ctx context.Context, h *claimer.Held) { _ = h.Finish(ctx, reply) }
	release := func(ctx context.Context, h *claimer.Held) { _ = h.Release(ctx) }
	mark := func(ctx context.Context, h *claimer.Held) { _ = h.MarkSent(ctx) }
	tests := []struct {
		name     string
		steps    []func(context.Context, *claimer.Held)
		replace  bool // the table lets another write replace the sent row
		violated asserter.Invariant
	}{
		{"dispatcher sends twice", []func(context.Context, *claimer.Held){mark, mark}, false, asserter.AtMostOnce},
		{"dispatcher sends without the mark", []func(context.Context, *claimer.Held){finish}, false, asserter.NotRunTrue},
		{"dispatcher releases an answered call", []func(context.Context, *claimer.Held){mark, finish, release}, false, asserter.NotRunTrue},
		{"table replaces a sent row", []func(context.Context, *claimer.Held){mark, finish}, true, asserter.AtMostOnce},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				table := emulator.NewTable()
				asserts := asserter.New(nil)
				claims := claimer.New(table, "a", asserts, claimer.WithoutSweeper())
				defer claims.Close()
				r, target := request(t, call{key: "k", timeout: time.Second})
				claim, err := claims.Acquire(ctx, r, target)
				is.NoErr(err)
				held, ok := claim.(*claimer.Held)
				is.True(ok)
				for i, step := range tt.steps {
					if tt.replace && i == 1 {
						rows, err := table.Scan(ctx, "", "", 10)
						is.NoErr(err)
						is.Equal(len(rows), 1)
						is.NoErr(table.Commit(ctx, storer.NewPut(rows[0].Key(), rows[0].Value(), rows[0].Version())))
					}
					step(ctx, held)
				}
				is.Equal(asserts.Violations(tt.violated), int64(1))
				is.Equal(asserts.Total(), int64(1))
			})
		})
	}
}
