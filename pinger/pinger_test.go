package pinger_test

import (
	"context"
	"fmt"
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

// Guards against a failed host that counts as alive, against a live one that counts
// as failed, and against a newer configuration at another host that goes unnoticed.
func TestAlive(t *testing.T) {
	is := is.New(t)
	a, b := freeAddress(t), freeAddress(t)
	state := func(config int64) func() pinger.State {
		return func() pinger.State { return pinger.NewState(false, config) }
	}
	newerConfig := make(chan string, 100)
	pa := pinger.New("a", func() []netip.AddrPort { return []netip.AddrPort{b} }, state(2), func(string, int64) { t.Error("b has no newer configuration") }, logger.Nop())
	pb := pinger.New("b", func() []netip.AddrPort { return []netip.AddrPort{a} }, state(1), func(host string, version int64) { newerConfig <- fmt.Sprint(host, " ", version) }, logger.Nop())
	ctxA, stopA := context.WithCancel(t.Context())
	ctxB, stopB := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { is.NoErr(pa.Run(ctxA, a.String())) })
	running.Go(func() { is.NoErr(pb.Run(ctxB, b.String())) })
	defer running.Wait()
	defer stopB()
	_, known := pb.Alive("a")
	is.True(!known)
	eventually(t, func() bool { alive, _ := pb.Alive("a"); return alive })
	eventually(t, func() bool { alive, _ := pa.Alive("b"); return alive })
	is.Equal(<-newerConfig, "a 2")
	stopA()
	eventually(t, func() bool { alive, known := pb.Alive("a"); return known && !alive })
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition not met within 10 s")
}
