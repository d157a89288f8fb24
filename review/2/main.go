// Command 2 shows that two machines order one engine at the same time after the engine was
// cut off from the store for a few seconds.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
	"github.com/dragonflyford/dragonflyford/review/imitator"
)

const (
	runTime       = 93 * time.Second       // until the store leaves a machine without an answer for the last time
	restartTime   = 10 * time.Second       // after which the restart of a machine has ended
	leaseTime     = 3 * time.Second        // lease_ms of the site file
	thawTime      = 300 * time.Millisecond // thaw_ms of the site file
	engines       = 12
	maxEngines    = 2               // a share of 0.17 at a time
	maxEngineCut  = 5 * time.Second // for_s of srv_cut
	machineCut    = 9 * time.Second // for_s of platform_down, nodes silent
	maxMachines   = 2               // a share of 0.33
	adapters      = 3000
	adapterSlots  = 20
	requesters    = 30
	thinkTime     = 300 * time.Millisecond
	requestBudget = 15 * time.Second

	// A host deletes owner rows each cleanupTime, counted from its start. The entry of an
	// engine is removed between maxLead and minLead before that. The hosts read entries up
	// to about a second late.
	cleanupTime = 10030 * time.Millisecond
	maxLead     = 2300 * time.Millisecond
)

const config = `{"version":7,"limits":{"max_header_bytes":65536,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":60000},
"routes":[{"name":"r-plan","host":"ficu95.example","prefix":"/plan/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":1,"service":"drafting","max_attempts":1,"sticky":true,"gap_aim_ms":300}],
"services":[{"name":"drafting","max_conns":360,"engine":{"slots":64,"adapter_slots":20,"weights_mb":66600,"models":[{"name":"m0","weights_mb":65100,"load_time_s":5.3,"adapters":3000,"adapter_mb":12}]}}]}`

// engine is a worker with its stand-in.
type engine struct {
	*imitator.Worker
	orders *emulator.Endpoint
}

// trial is one run of the case.
type trial struct {
	deployment *imitator.Deployment
	record     *imitator.Recorder
	hosts      []*imitator.Host
	engines    []*engine
	restarting sync.Mutex    // one machine at a time
	cutting    sync.Mutex    // one zone's engines at a time
	machines   chan struct{} // holds a value for each machine that the store does not answer
	cuts       int
	mu         sync.Mutex
	healed     map[string][]time.Time // when a link to the store was whole again, by machine or engine
	statuses   map[int]int
}

func main() {
	code, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(dir string) (code int, err error) {
	record, err := imitator.NewRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer func() { _ = record.Close() }()
	d, err := imitator.NewDeployment("target/dragonflyford", record, fits)
	if err != nil {
		return 2, err
	}
	defer func() { _ = d.Close() }()
	t := &trial{deployment: d, record: record, machines: make(chan struct{}, maxMachines), statuses: make(map[int]int), healed: make(map[string][]time.Time)}
	if err := t.start(); err != nil {
		return 2, err
	}
	done := make(chan struct{})
	directory := d.NewDirectory(done)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for i := range requesters {
		load.Go(func() { t.request(ctx, directory, imitator.Zones[i%len(imitator.Zones)]) })
	}
	err = t.work(os.Getenv("TROUBLE") != "0")
	cancel()
	load.Wait()
	close(done)
	if err != nil {
		return 2, err
	}
	return t.judge(), nil
}

// fits reports whether, in each zone, the second machine reads the table of the owners from
// the first one, and the first one reads the entries of the workers from the second one.
// Which one does depends on a hash of the table and the address.
func fits(ip func(machine int) string) bool {
	hash := func(table string, machine int) uint64 { return xxhash.Sum64String(table + "\x00" + ip(machine)) }
	for i := 1; i <= len(imitator.Zones); i++ {
		second := i + len(imitator.Zones)
		if hash("fleet", i) < hash("fleet", second) || hash("servers", i) > hash("servers", second) {
			return false
		}
	}
	return true
}

func (t *trial) start() error {
	t.deployment.SetConfig(config)
	for i := range engines {
		if err := t.addEngine(i); err != nil {
			return err
		}
		time.Sleep(imitator.HeartbeatInterval / engines) // the reports of the engines are spread
	}
	for i := range 2 * len(imitator.Zones) {
		h, err := t.deployment.AddHost(imitator.Zones[i%len(imitator.Zones)])
		if err != nil {
			return err
		}
		t.hosts = append(t.hosts, h)
	}
	return imitator.Eventually("all machines are ready", 10*time.Second, func() bool {
		return !slices.ContainsFunc(t.hosts, func(h *imitator.Host) bool { return !h.Ready() })
	})
}

func (t *trial) addEngine(i int) error {
	id, zone := fmt.Sprintf("i-7f3a91%02x", i), imitator.Zones[i%len(imitator.Zones)]
	fake := emulator.NewEndpoint(id, emulator.NewEngineOptions("m0", adapterSlots, 250*time.Millisecond, 25*time.Millisecond, 20, 100*time.Millisecond))
	entry := func() map[string]any {
		var fields map[string]any
		if err := json.Unmarshal(fake.Entry("drafting", "", zone, "ready"), &fields); err != nil {
			panic(err) // the stand-in writes JSON
		}
		fields["slots"] = 64
		return fields
	}
	w, err := t.deployment.AddWorker(id, entry, fake.Handler())
	if err != nil {
		return fmt.Errorf("add engine: %w", err)
	}
	t.engines = append(t.engines, &engine{Worker: w, orders: fake})
	return nil
}

// request sends generations of one requester, one after the other.
func (t *trial) request(ctx context.Context, directory *imitator.Directory, zone string) {
	client := imitator.NewClient()
	ranks := rand.NewZipf(rand.New(rand.NewPCG(rand.Uint64(), 1)), 1.1, 1, adapters-1)
	for ctx.Err() == nil {
		model := fmt.Sprintf("m0/a%d", ranks.Uint64()+1)
		if rand.N(2) == 0 {
			model = fmt.Sprintf("m0/a%d", rand.N(adapters)+1) // rare adapters are asked for, too
		}
		call := emulator.NewCall(imitator.NewAttempt(), imitator.HostName, "/plan/1", "draft", requestBudget, model)
		if address := directory.Pick(zone); address != "" {
			reply := imitator.Do(ctx, client, address, call, requestBudget)
			t.mu.Lock()
			t.statuses[reply.Status]++
			t.mu.Unlock()
		}
		time.Sleep(rand.N(2 * thinkTime))
	}
}

// work runs the zones side by side. The machines are stopped and started in turn, in each
// zone the first one and then the second one, so that the first one orders all engines of
// the zone; then there is trouble.
func (t *trial) work(trouble bool) error {
	time.Sleep(5 * time.Second)
	errs := make([]error, len(imitator.Zones))
	var zones sync.WaitGroup
	for i := range imitator.Zones {
		zones.Go(func() { errs[i] = t.workInZone(t.hosts[i], t.hosts[i+len(imitator.Zones)], trouble) })
	}
	zones.Wait()
	time.Sleep(leaseTime)
	return errors.Join(errs...)
}

func (t *trial) workInZone(first, second *imitator.Host, trouble bool) error {
	if err := t.restart(first); err != nil {
		return err
	}
	for t.record.Now() < runTime-restartTime {
		if err := t.restart(second); err != nil {
			return err
		}
		time.Sleep(leaseTime) // the first machine orders the engines
		for moved := t.moved(first, second); trouble && len(moved) > 0 && t.record.Now() < runTime; moved = t.moved(first, second) {
			t.disturb(first, moved[:min(maxEngines, len(moved))])
		}
		if !trouble {
			time.Sleep(min(cleanupTime, runTime-t.record.Now()))
		}
	}
	return nil
}

// restart stops a machine as planned and starts it again.
func (t *trial) restart(h *imitator.Host) error {
	t.restarting.Lock()
	defer t.restarting.Unlock()
	if err := h.Restart(); err != nil {
		return fmt.Errorf("restart: %w", err)
	}
	return imitator.Eventually(h.Name()+" is ready again", 10*time.Second, h.Ready)
}

// moved returns the engines that the second machine of a zone ordered first and the first
// one orders now.
func (t *trial) moved(first, second *imitator.Host) []*engine {
	var list []*engine
	for _, e := range t.engines {
		orders := e.orders.Orders()
		if len(orders) > 0 && orders[0].Holder() == second.IP() && orders[len(orders)-1].Holder() == first.IP() {
			list = append(list, e)
		}
	}
	return list
}

// disturb cuts engines off from the store so that their entries are missing there when
// their owner next deletes rows. From then on the store does not answer the owner.
func (t *trial) disturb(owner *imitator.Host, list []*engine) {
	cleanup := cleanupTime - time.Since(owner.Started())%cleanupTime // until then
	if cleanup < maxEngineCut {
		cleanup += cleanupTime
	}
	at := time.Now().Add(cleanup)
	if t.record.Now()+cleanup > runTime {
		time.Sleep(runTime - t.record.Now())
		return
	}
	time.Sleep(cleanup - maxEngineCut)
	t.machines <- struct{}{}
	defer func() { <-t.machines }()
	t.cutting.Lock()
	if time.Until(at) < maxEngineCut-100*time.Millisecond {
		t.cutting.Unlock()
		return // another zone was first
	}
	var cuts sync.WaitGroup
	for _, e := range list {
		cuts.Go(func() { t.cutEngine(e, at) })
	}
	deleted := t.awaitDeletion(owner, list, at)
	cuts.Wait()
	for _, e := range list {
		e.CutFromStore(false)
		t.recordHealed(e.ID())
		t.record.Printf("worker %s reaches the store again", e.ID())
	}
	time.Sleep(imitator.HeartbeatInterval)
	t.cutting.Unlock()
	if !deleted {
		return
	}
	time.Sleep(machineCut - imitator.HeartbeatInterval)
	owner.CutFromStore(false)
	t.recordHealed(owner.IP())
	t.record.Printf("%s is answered by the store again", owner.Name())
	time.Sleep(time.Second)
}

// cutEngine cuts an engine off from the store after the report that makes its entry be
// removed at most maxLead before the rows are deleted.
func (t *trial) cutEngine(e *engine, at time.Time) {
	for e.LastReport().Add(3 * imitator.HeartbeatInterval).Before(at.Add(-maxLead)) {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(imitator.HeartbeatInterval - 50*time.Millisecond)
	t.mu.Lock()
	t.cuts++
	t.mu.Unlock()
	t.record.Printf("worker %s is cut off from the store", e.ID())
	e.CutFromStore(true)
}

// awaitDeletion waits until the owner has deleted the row of an engine, which is to be at
// the given time, and reports whether it has. From then on the store does not answer the
// owner.
func (t *trial) awaitDeletion(owner *imitator.Host, list []*engine, at time.Time) bool {
	before := t.deployment.Store.Rows("fleet")
	err := imitator.Eventually("a row is deleted", time.Until(at)+600*time.Millisecond, func() bool {
		rows := t.deployment.Store.Rows("fleet")
		return slices.ContainsFunc(list, func(e *engine) bool {
			row := "owner/" + e.ID()
			return string(rows[row]) != string(before[row])
		})
	})
	if err != nil {
		return false
	}
	owner.CutFromStore(true)
	t.record.Printf("%s has deleted rows of owners; from now on the store does not answer it", owner.Name())
	return true
}

func (t *trial) recordHealed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healed[id] = append(t.healed[id], time.Now())
}

// excused reports whether an order arrived within thaw_ms after a link of its sender or of
// the engine was whole again.
func (t *trial) excused(e *engine, o emulator.AcceptedOrder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(slices.Concat(t.healed[e.ID()], t.healed[o.Holder()]), func(at time.Time) bool {
		since := o.At().Sub(at)
		return since >= 0 && since <= thawTime
	})
}

// judge returns 1 if an engine accepted an order with a lower generation number after one
// of another holder with a higher one.
func (t *trial) judge() int {
	broken, handovers := 0, 0
	for _, e := range t.engines {
		orders := slices.DeleteFunc(e.orders.Orders(), func(o emulator.AcceptedOrder) bool { return t.excused(e, o) })
		slices.SortStableFunc(orders, func(a, b emulator.AcceptedOrder) int { return a.At().Compare(b.At()) })
		t.record.Printf("worker %s: %d orders accepted", e.ID(), len(orders))
		var highest emulator.AcceptedOrder
		for i, o := range orders {
			if i > 0 && orders[i-1].Holder() != o.Holder() {
				gap := o.At().Sub(orders[i-1].At())
				t.record.Printf("worker %s: order of %s with generation %d, %.3f s after one of %s with generation %d",
					e.ID(), o.Holder(), o.Fence(), gap.Seconds(), orders[i-1].Holder(), orders[i-1].Fence())
				if gap < leaseTime {
					handovers++
				}
			}
			if o.Fence() < highest.Fence() && o.Holder() != highest.Holder() {
				broken++
				t.record.Printf("BROKEN worker %s: order of %s with generation %d, %.3f s after one of %s with generation %d",
					e.ID(), o.Holder(), o.Fence(), o.At().Sub(highest.At()).Seconds(), highest.Holder(), highest.Fence())
			}
			if cmp.Compare(o.Fence(), highest.Fence()) > 0 {
				highest = o
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	summary := fmt.Sprintf("%d cuts, %d changes of the holder within lease_ms, %d orders with a lower generation number after a higher one; answers by status %v",
		t.cuts, handovers, broken, t.statuses)
	t.record.Printf("%s", summary)
	fmt.Println(summary)
	if broken > 0 {
		return 1
	}
	return 0
}
