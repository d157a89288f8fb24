package breaker_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/breaker"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// group connects the breakers of a test. If disconnected is set, no messages
// are delivered.
type group struct {
	members      []*breaker.Breaker
	disconnected bool
}

func (g *group) SendMarks(_ context.Context, marks []byte) error {
	if g.disconnected {
		return errors.New("disconnected")
	}
	for _, m := range g.members {
		if err := m.ApplyMarks(marks); err != nil {
			return err
		}
	}
	return nil
}

func request(n byte) receiver.Fingerprint { return receiver.Fingerprint{n} }

var (
	culprit  = request(1)
	innocent = request(2)
	other    = request(3)
)

// propagationDelay is enough time for marks to reach the table and the peers, and
// shorter than any TTL.
const propagationDelay = 6 * time.Second

func stopped(err error) bool {
	var s *classifier.Stopped
	return errors.As(err, &s)
}

// Guards against a request that continues to crash endpoints through other nodes, and
// against stopping the innocent requests of the same batches.
func TestSecondCrashStops(t *testing.T) {
	tests := []struct {
		name              string
		tableDown         bool
		peersDisconnected bool
		wantRemote        bool // whether the other node also stops the culprit
	}{
		{name: "table and peers", wantRemote: true},
		{name: "table down", tableDown: true, wantRemote: true},
		{name: "peers disconnected", peersDisconnected: true, wantRemote: true},
		{name: "table down and peers disconnected", tableDown: true, peersDisconnected: true, wantRemote: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := emulator.NewTable()
				if tt.tableDown {
					is.NoErr(table.Inject(emulator.Down{}))
				}
				peers := &group{disconnected: tt.peersDisconnected}
				a := breaker.New("a", table, peers, breaker.DefaultTTL)
				defer a.Close()
				b := breaker.New("b", table, peers, breaker.DefaultTTL)
				defer b.Close()
				peers.members = []*breaker.Breaker{a, b}

				a.Crashed("engine-1", []receiver.Fingerprint{culprit, innocent})
				is.NoErr(a.Blocked(culprit))
				is.True(a.Suspect(culprit))
				is.True(a.Suspect(innocent))

				a.Crashed("engine-2", []receiver.Fingerprint{culprit, other})
				time.Sleep(propagationDelay)
				is.True(stopped(a.Blocked(culprit)))
				is.NoErr(a.Blocked(innocent))
				is.NoErr(a.Blocked(other))
				is.Equal(stopped(b.Blocked(culprit)), tt.wantRemote)
				is.NoErr(b.Blocked(innocent))
			})
		})
	}
}

// Guards against one crash that counts twice because it is reported by several
// sources: the broken stream, the engine's owner, a peer and the table.
func TestOneCrashCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable()
		peers := &group{}
		a := breaker.New("a", table, peers, breaker.DefaultTTL)
		defer a.Close()
		b := breaker.New("b", table, peers, breaker.DefaultTTL)
		defer b.Close()
		peers.members = []*breaker.Breaker{a, b}

		b.StreamBroken(culprit, "engine-1")
		a.Crashed("engine-1", []receiver.Fingerprint{culprit})
		time.Sleep(propagationDelay)
		a.StreamBroken(culprit, "engine-1")
		b.StreamBroken(culprit, "engine-1")
		is.NoErr(a.Blocked(culprit))
		is.NoErr(b.Blocked(culprit))
	})
}

// Guards against a third crash while the second one is not confirmed yet, and
// against a lost connection that stops a request permanently.
func TestUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := breaker.New("a", emulator.NewTable(), &group{}, breaker.DefaultTTL)
		defer b.Close()
		b.StreamBroken(culprit, "engine-1")
		is.NoErr(b.Blocked(culprit))
		is.True(b.Suspect(culprit))
		b.StreamBroken(culprit, "engine-2")
		err := b.Blocked(culprit)
		var later *classifier.Unavailable
		is.True(errors.As(err, &later))
		is.True(later.RetryAfter() > 0)
		time.Sleep(11 * time.Second)
		is.NoErr(b.Blocked(culprit))
		is.True(!b.Suspect(culprit))
	})
}

// Guards against a crashing request that reaches a third engine through another
// node before the first crash is confirmed.
func TestUnconfirmedReachesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable()
		peers := &group{}
		a := breaker.New("a", table, peers, breaker.DefaultTTL)
		defer a.Close()
		b := breaker.New("b", table, peers, breaker.DefaultTTL)
		defer b.Close()
		peers.members = []*breaker.Breaker{a, b}
		a.StreamBroken(culprit, "engine-1")
		a.StreamBroken(culprit, "engine-2")
		synctest.Wait()
		is.True(b.Blocked(culprit) != nil)
		is.True(!stopped(b.Blocked(culprit)))
		a.Crashed("engine-1", []receiver.Fingerprint{culprit})
		a.Crashed("engine-2", []receiver.Fingerprint{culprit})
		synctest.Wait()
		is.True(stopped(b.Blocked(culprit)))
	})
}

// Guards against marks that remain after the request completed or their TTL expired.
func TestMarksEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable()
		b := breaker.New("a", table, &group{}, time.Minute)
		defer b.Close()
		b.Crashed("engine-1", []receiver.Fingerprint{culprit, innocent})
		time.Sleep(propagationDelay)
		b.Completed(innocent)
		is.True(!b.Suspect(innocent))
		time.Sleep(2 * time.Minute)
		is.True(!b.Suspect(culprit))
		rows, err := table.Scan(context.Background(), "crash/", "", 10)
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}

// Guards against unbounded memory for marked requests.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable()
		is.NoErr(table.Inject(emulator.Down{}))
		b := breaker.New("a", table, &group{}, breaker.DefaultTTL)
		defer b.Close()
		for i := range 5000 {
			b.StreamBroken(receiver.Fingerprint{byte(i), byte(i >> 8), 1}, "engine-1")
		}
		is.Equal(b.Marked(), 4096)
	})
}

// Guards against a malformed message from a peer that crashes the decoder.
func FuzzApplyMarks(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		synctest.Test(t, func(*testing.T) {
			br := breaker.New("a", emulator.NewTable(), &group{}, breaker.DefaultTTL)
			defer br.Close()
			_ = br.ApplyMarks(b)
		})
	})
}
