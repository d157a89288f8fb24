package assembler_test

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/messenger"
	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// settledTime is longer than an owner takes to count the parts that are delegated to it, and to
// lose units that it holds beyond its share. A level that was full before the hosts knew each
// other falls within it.
const settledTime = time.Second

// quotaTimeout limits the wait for a whole burst. A new owner's bucket needs 5 s at the rate of the
// test, and the whole test took 21 s at a load of 27 to 41 on 7 cores.
const quotaTimeout = time.Minute

// waitForQuota waits until the hosts know each other and the quota owner of a workspace has held
// the whole burst for settledTime. It does so only while all hosts delegate their parts to it, and
// they have then ceased to delegate them to others. Level reads what a host has left.
func (d *deployment) waitForQuota(workspace string, hosts []string, burst float64, level func(owner string) float64) {
	d.t.Helper()
	for _, host := range hosts {
		d.eventuallyWithin(quotaTimeout, func() bool { return len(d.listedHosts(host)) == len(hosts) })
	}
	owner := slices.MaxFunc(hosts, func(a, b string) int {
		hash := func(host string) uint64 { return xxhash.Sum64String(workspace + "\x00" + d.hostAddress(host)) }
		return cmp.Compare(hash(a), hash(b))
	})
	settled := time.Now()
	d.eventuallyWithin(quotaTimeout, func() bool {
		if level(owner) < burst {
			settled = time.Now()
		}
		return time.Since(settled) > settledTime
	})
}

// listedHosts returns the addresses that the directory of a host lists.
func (d *deployment) listedHosts(host string) []string {
	resp, err := http.Get(emulator.DirectoryURL(d.listenAddress(host, 2), "h", "r1", "z1"))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	list, _, err := emulator.ReadDirectory(resp.Body)
	if err != nil {
		return nil
	}
	return list
}

// Guards against hosts that do not receive each other's draws and delegations, so that a quota
// owner grants less than the quota, and against a quota that each host grants.
func TestQuotaOfHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	const rate, burst = 10.0, 100.0
	d.store.Set("op", "config", fmt.Appendf(nil, `{"version":2,"tenants":[{"name":"w","api_keys":["key"],"priority":1,"unit":"requests","rate_per_s":%v,"burst":%v}],
		"routes":[{"name":"look","host":"h","prefix":"/look/","route_type":"safe","timeout_ms":2000,"target_latency_ms":400,"service":"ledger","max_attempts":2}],
		"services":[{"name":"ledger","max_conns":100}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":6000}}`, rate, burst))
	hosts := []string{hostA, hostB}
	for _, host := range hosts {
		d.start(host)
	}
	client, err := messenger.New(nil)
	is.NoErr(err)
	defer func() { is.NoErr(client.Close()) }()
	drawFrom := func(from, host string, cost float64) accountant.Verdict {
		r := allotter.NewRequest(d.hostAddress(from), "w", accountant.NewTerms(2, rate, burst), cost)
		verdict, err := client.Draw(t.Context(), d.listenAddress(host, 3), r)
		is.NoErr(err)
		return verdict
	}
	draw := func(host string, cost float64) accountant.Verdict { return drawFrom(hostB, host, cost) }
	d.waitForQuota("w", hosts, burst, func(owner string) float64 {
		// No bucket grants this cost, so that the draw only reads the level. The owner's own draw
		// leaves it to the other host to delegate its part.
		left, _ := drawFrom(owner, owner, math.MaxFloat64).Balance().Units()
		return left
	})
	owner := ""
	for _, host := range hosts {
		if _, granted := draw(host, burst).(accountant.Granted); granted {
			is.Equal(owner, "") // one host grants the quota
			owner = host
		}
	}
	is.True(owner != "")
	exceeded, ok := draw(owner, burst/2).(accountant.Exceeded)
	is.True(ok)
	// The bucket fills at the whole rate, since both hosts delegate their parts.
	filled := time.Duration(burst / 2 / rate * float64(time.Second))
	is.True(exceeded.Wait() > filled*8/10 && exceeded.Wait() <= filled)
}
