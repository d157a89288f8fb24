package assembler

import (
	"cmp"
	"math"
	"syscall"
	"time"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/collector"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/reserver"
	"github.com/dragonflyford/dragonflyford/router"
)

// capacity is what clients may take of the host's memory and descriptors. The rest of
// memoryLimitShare is for the tables, calls in flight and garbage.
type capacity struct {
	bodies      *reserver.Reserver
	headers     *reserver.Reserver
	connections int // of callers
	others      int // connections of each of the other ports
	peers       int // connections of other hosts
}

// Divisors of the memory of the host.
const (
	bodyPart       = 6
	headerPart     = 16
	connectionPart = 5
	// reservedPart of the budgets is for small bodies and headers.
	reservedPart = 4
)

const (
	// smallBody and smallHeader bound the shares that may use the reserved part, in bytes.
	smallBody   = 64 << 10
	smallHeader = 16 << 10
	// connectionCost is the memory of a connection with a request in progress: two
	// goroutines, buffers of 4 KiB for reading and writing, the first chunk of a body
	// and a common header.
	connectionCost = 32 << 10 // bytes
	minConnections = 16
	// minBodies holds a body of 4 MiB beside the reserved part.
	minBodies = 8 << 20 // bytes
)

// Descriptors. Each call in flight needs one for its caller and one for its endpoint; the
// remaining quarter is for hosts, the store and the other ports. Other hosts also get what
// callers cannot use for lack of memory: a host of 184 MB takes 1,177 callers, and 1,041 of 4,100
// descriptors are for other hosts, three for each of 300. 257 are left for the connections to
// other hosts, of which messenger keeps 256 at most, and reservedFiles for the rest.
const (
	callerFiles = 3.0 / 8
	otherFiles  = 1.0 / 32 // for each of the three other ports
	peerFiles   = 3.0 / 32
	// reservedFiles are for the store, the listeners, heartbeats and the runtime.
	reservedFiles = 64
)

func newCapacity(settings *configurer.Entry) capacity {
	memory := settings.MemoryMB() << 20
	files := float64(maxFiles(settings.MaxFiles()))
	connections := min(int64(files*callerFiles), memory/connectionPart/connectionCost)
	unused := 2 * (files*callerFiles - float64(connections))
	bodies, headers := max(memory/bodyPart, minBodies), memory/headerPart
	return capacity{
		bodies:      reserver.New(bodies, bodies/reservedPart, smallBody),
		headers:     reserver.New(headers, headers/reservedPart, smallHeader),
		connections: int(max(connections, minConnections)),
		others:      max(int(files*otherFiles), minConnections),
		peers:       max(int(files*peerFiles+unused)-reservedFiles, minConnections),
	}
}

// maxFiles returns the descriptor limit: that of the settings or that of the process,
// whichever is lower.
func maxFiles(settings int64) int64 {
	var limit syscall.Rlimit
	process := int64(math.MaxInt32)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		process = int64(limit.Cur)
	}
	if settings <= 0 {
		return process
	}
	return min(settings, process)
}

// loosest returns the largest value of a limit in the configurations that callers may go
// by. Where one has no such limit, that of the settings counts.
func loosest[T cmp.Ordered](h *Host, value func(router.Limits) T, unset T) T {
	var none, largest T
	for l := range h.router.RecentLimits() {
		v := value(l)
		if v <= none {
			v = unset
		}
		largest = max(largest, v)
	}
	if largest == none {
		return unset // no configuration is known yet
	}
	return largest
}

// maxBodyBytes returns the maximum size of a call's body.
func (h *Host) maxBodyBytes() int64 {
	return loosest(h, router.Limits.BodyBytes, h.settings.Load().BodyBytes())
}

// idleTimeout returns how long a caller's connection may be idle.
func (h *Host) idleTimeout() time.Duration {
	return loosest(h, router.Limits.IdleTimeout, h.settings.Load().IdleTimeout())
}

// headerBytes returns the maximum size of a call's header.
func (h *Host) headerBytes() int {
	return loosest(h, router.Limits.HeaderBytes, h.settings.Load().HeaderBytes())
}

// headerTimeout returns the time in which a call's header must arrive.
func (h *Host) headerTimeout() time.Duration {
	return loosest(h, router.Limits.HeaderTimeout, h.settings.Load().ReadTimeout())
}

// bodyLimits returns the limits on a call's body.
func (h *Host) bodyLimits() collector.Limits {
	s := h.settings.Load()
	return collector.NewLimits(h.maxBodyBytes(), s.BodyTimeout(), s.BodyRate())
}

// connectionLimits returns the limits on the connections of callers.
func (h *Host) connectionLimits() acceptor.Limits {
	return acceptor.NewLimits(h.capacity.connections, h.headerBytes, h.headerTimeout, h.idleTimeout)
}

// otherLimits returns the limits on the connections of a port that takes no calls.
func (h *Host) otherLimits() acceptor.Limits {
	return acceptor.NewLimits(h.capacity.others, func() int { return h.settings.Load().HeaderBytes() },
		func() time.Duration { return h.settings.Load().ReadTimeout() }, func() time.Duration { return h.settings.Load().IdleTimeout() })
}
