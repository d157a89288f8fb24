package pinger_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinger"
)

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

// Guards against a dead or leaving host that stays in the directory, and against
// one that lives and is left out.
func TestHeard(t *testing.T) {
	is := is.New(t)
	a, b := freeAddress(t), freeAddress(t)
	leaving := false
	pa := pinger.New("a", func() []netip.AddrPort { return []netip.AddrPort{b} }, func() bool { return leaving }, logger.Nop())
	pb := pinger.New("b", func() []netip.AddrPort { return []netip.AddrPort{a} }, func() bool { return false }, logger.Nop())
	ctxA, stopA := context.WithCancel(t.Context())
	ctxB, stopB := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { is.NoErr(pa.Run(ctxA, a.String())) })
	running.Go(func() { is.NoErr(pb.Run(ctxB, b.String())) })
	defer running.Wait()
	defer stopB()
	_, known := pb.Heard("a")
	is.True(!known)
	eventually(t, func() bool { alive, _ := pb.Heard("a"); return alive })
	eventually(t, func() bool { alive, _ := pa.Heard("b"); return alive })
	stopA()
	eventually(t, func() bool { alive, known := pb.Heard("a"); return known && !alive })
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("did not hold within 10 s")
}
