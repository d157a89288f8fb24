package breaker_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/breaker"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/receiver"
)

var _ admitter.Screen = (*breaker.Breaker)(nil)

func fingerprint(n int) receiver.Fingerprint {
	var f receiver.Fingerprint
	binary.LittleEndian.PutUint64(f[:], uint64(n)*0x9e3779b97f4a7c15)
	return f
}

func list(f ...receiver.Fingerprint) []receiver.Fingerprint { return f }

// others is the peer of a node.
type others struct{ breakers []*breaker.Breaker }

func (o *others) Crash(_ context.Context, marks []breaker.Mark) error {
	for _, b := range o.breakers {
		b.Learn(marks)
	}
	return nil
}

func stopped(b *breaker.Breaker, f receiver.Fingerprint) bool {
	var s *classifier.Stopped
	return errors.As(b.Blocked(f), &s)
}

// Guards against a request that crashes more than two engines, at whichever node
// its caller sends it again, and against an innocent request that is stopped for
// having run beside it.
func TestCulprit(t *testing.T) {
	tests := []struct {
		name          string
		down, isolate bool
	}{
		{"table and peers", false, false},
		{"table down", true, false},
		{"peers out of reach", false, true},
	}
	culprit, first, second := fingerprint(1), fingerprint(2), fingerprint(3)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := emulator.NewTable(emulator.WithLatency(5 * time.Millisecond))
				if tt.down {
					is.NoErr(table.Inject(emulator.Down{}))
				}
				toA, toB := &others{}, &others{}
				a := breaker.New(table, breaker.WithPeers(toB))
				defer a.Close()
				b := breaker.New(table, breaker.WithPeers(toA))
				defer b.Close()
				if !tt.isolate {
					toA.breakers, toB.breakers = []*breaker.Breaker{a}, []*breaker.Breaker{b}
				}
				a.Crashed("e1", "1", nil, list(culprit, first))
				time.Sleep(2 * breaker.DefaultScan)
				is.True(b.Suspect(culprit) && b.Suspect(first))
				is.True(!stopped(b, culprit))
				for range 2 { // a repeated report changes nothing
					b.Crashed("e2", "1", list(culprit), list(second))
				}
				is.True(stopped(b, culprit))
				time.Sleep(2 * breaker.DefaultScan)
				is.True(stopped(a, culprit))
				for _, f := range list(first, second) {
					is.True(!stopped(a, f) && !stopped(b, f))
					is.True(a.Suspect(f))
				}
				b.Completed(first)
				is.True(!b.Suspect(first))
				time.Sleep(2 * breaker.DefaultScan)
				is.Equal(a.Suspect(first), tt.down) // without the table it lives on to its end
				time.Sleep(2*breaker.DefaultTTL + breaker.DefaultScan)
				is.True(!stopped(a, culprit) && !stopped(b, culprit))
				is.Equal(a.Size()+b.Size(), 0)
			})
		})
	}
}

// Guards against a request that is stopped by one crash, or by two that it met
// unmarked: neither identifies it.
func TestNotIdentified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := breaker.New(emulator.NewTable())
		defer b.Close()
		f := fingerprint(1)
		for i := range 3 {
			b.Crashed("e1", "1", nil, list(f))
			b.Crashed(fmt.Sprint("e", i), "1", nil, list(f))
		}
		is.True(b.Suspect(f))
		is.NoErr(b.Blocked(f))
	})
}

// Guards against a mark that is lost with the answer to its write, or written by
// two nodes at once so that the first mark replaces the second.
func TestStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable(emulator.WithLatency(5 * time.Millisecond))
		is.NoErr(table.Inject(emulator.NewAnswerLost(2, 0)))
		a, b := breaker.New(table), breaker.New(table)
		f := fingerprint(1)
		a.Crashed("e1", "1", nil, list(f))
		b.Crashed("e2", "1", list(f), nil)
		time.Sleep(2 * breaker.DefaultScan)
		a.Close()
		b.Close()
		c := breaker.New(table)
		defer c.Close()
		time.Sleep(time.Second)
		is.True(stopped(c, f))
	})
}

// Guards against memory that grows with the number of marks, and against a flood
// of first marks that frees a stopped request.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable()
		is.NoErr(table.Inject(emulator.Down{}))
		b := breaker.New(table, breaker.WithLimit(1024))
		defer b.Close()
		culprit := fingerprint(1 << 30)
		b.Crashed("e0", "1", list(culprit), nil)
		for i := range 10000 {
			b.Crashed("e1", fmt.Sprint(i), nil, list(fingerprint(i)))
		}
		is.True(b.Size() <= 1024)
		is.True(stopped(b, culprit))
	})
}

// Guards against rows that crash the node that reads them.
func FuzzDecodeMark(f *testing.F) {
	f.Add(breaker.Key(fingerprint(1)), []byte{0xa1, 1, 2})
	f.Add("crash/", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m, err := breaker.DecodeMark(key, value)
		if err != nil && !errors.Is(err, breaker.ErrMalformed) {
			t.Error(err)
		}
		if err != nil && m != (breaker.Mark{}) {
			t.Error("a malformed row gives a mark")
		}
	})
}

func BenchmarkBlocked(b *testing.B) {
	br := breaker.New(emulator.NewTable())
	defer br.Close()
	for i := range 10000 {
		br.Crashed("e", fmt.Sprint(i), nil, list(fingerprint(i)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			_ = br.Blocked(fingerprint(i))
		}
	})
}
