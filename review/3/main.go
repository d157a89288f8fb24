// Command 3 shows that streams are joined from events of two software versions at a machine
// that the store does not answer while workers of a new version begin to serve.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/review/imitator"
)

const (
	trafficStart   = 5 * time.Second
	silentAt       = 20 * time.Second
	silentTime     = 9 * time.Second // for_s of platform_down, nodes silent
	addAt          = 20500 * time.Millisecond
	addGap         = 300 * time.Millisecond // between two new workers
	killAt         = 27 * time.Second
	trafficEnd     = 30 * time.Second
	streamInterval = 30 * time.Millisecond // between two new streams
	events         = 57
	maxMixed       = 2 // streams that the rule allows
)

// newWorkers is the number of workers that are added, a share of 0.25.
const newWorkers = 3

// trial is one run of the case.
type trial struct {
	deployment *imitator.Deployment
	record     *imitator.Recorder
	streams    *imitator.Streams
	silent     *imitator.Host // the store does not answer it
	killed     *imitator.Host // of the same zone
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
	t := &trial{deployment: d, record: record, streams: d.NewStreams(0, events)}
	if err := t.start(); err != nil {
		return 2, err
	}
	var work sync.WaitGroup
	var disturbed error
	work.Go(func() { disturbed = t.disturb(os.Getenv("TROUBLE")) })
	t.streams.Request(trafficStart, trafficEnd, streamInterval)
	work.Wait()
	if disturbed != nil {
		return 2, disturbed
	}
	return t.judge(), nil
}

// fits reports whether the first machine of the first zone reads the tables of the workers
// and of the machines at the store, which depends on a hash of the table and the address.
func fits(ip func(machine int) string) bool {
	hash := func(table string, machine int) uint64 { return xxhash.Sum64String(table + "\x00" + ip(machine)) }
	neighbour := 1 + len(imitator.Zones)
	return hash("fleet", 1) > hash("fleet", neighbour) && hash("servers", 1) > hash("servers", neighbour)
}

// newWorkerIDs returns the ids of the new workers. They are those of some hundred that the
// system prefers for the model, which depends on a hash of the id.
func newWorkerIDs() []string {
	var ids []string
	for n := range 300 {
		ids = append(ids, fmt.Sprintf("i-v2-0-%d", n))
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(preference(b), preference(a)) })
	return ids[:newWorkers]
}

// preference is the rendezvous hash of a worker for the model without an adapter.
func preference(worker string) uint64 {
	model := xxhash.Sum64String("m0") ^ mix(xxhash.Sum64String(""))
	return mix(model ^ xxhash.Sum64String(worker))
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// start starts workers of one software version.
func (t *trial) start() error {
	t.deployment.SetConfig(imitator.StreamConfig)
	for i, zone := range imitator.Zones {
		for n := range 4 {
			if err := t.streams.AddEngine(fmt.Sprintf("i-v1-%d-%d", i, n), zone, "v1"); err != nil {
				return fmt.Errorf("start: %w", err)
			}
		}
	}
	hosts, err := t.deployment.AddHosts()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	t.silent, t.killed = hosts[0], hosts[len(imitator.Zones)]
	return nil
}

// disturb adds workers of a new version. Unless there is to be no trouble, the store does
// not answer one machine meanwhile, and its neighbour is killed.
func (t *trial) disturb(trouble string) error {
	time.Sleep(silentAt - t.record.Now())
	if trouble != "0" && trouble != "kill" {
		t.silent.CutFromStore(true)
		t.record.Printf("the store does not answer %s", t.silent.Name())
	}
	time.Sleep(addAt - t.record.Now())
	var added error
	for _, id := range newWorkerIDs() {
		added = errors.Join(added, t.streams.AddEngine(id, t.silent.Zone(), "v2"))
		time.Sleep(addGap)
	}
	time.Sleep(killAt - t.record.Now())
	var killed error
	var killing sync.WaitGroup
	if trouble != "0" && trouble != "silent" {
		killing.Go(func() { killed = t.killed.Crash() })
	}
	time.Sleep(silentAt + silentTime - t.record.Now())
	t.silent.CutFromStore(false)
	t.record.Printf("the store answers all machines")
	killing.Wait()
	return errors.Join(added, killed)
}

// judge returns 1 if more than maxMixed streams hold events of two software versions.
func (t *trial) judge() int {
	mixed := t.streams.Mixed()
	streams, complete, takenUp, refusals := t.streams.Count()
	summary := fmt.Sprintf("%d streams, %d complete, %d taken up with success, %d refusals, %d with events of two software versions",
		streams, complete, takenUp, refusals, mixed)
	t.record.Printf("%s", summary)
	fmt.Println(summary)
	if mixed > maxMixed {
		return 1
	}
	return 0
}
