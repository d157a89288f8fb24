// Command 1 shows that streams are joined from events of two software versions after a
// machine is killed while the store is down.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/review/imitator"
)

const (
	trafficStart   = 5 * time.Second
	downAt         = 20 * time.Second
	downTime       = 4500 * time.Millisecond // for_s of platform_down in the site file
	killAfter      = 3800 * time.Millisecond // after downAt
	trafficEnd     = 27 * time.Second
	streamInterval = 25 * time.Millisecond // between two new streams
	adapters       = 24
	events         = 57
	maxMixed       = 2 // streams that the rule allows
)

// trial is one run of the case.
type trial struct {
	deployment *imitator.Deployment
	record     *imitator.Recorder
	streams    *imitator.Streams
	hosts      []*imitator.Host
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
	d, err := imitator.NewDeployment("target/dragonflyford", record, nil)
	if err != nil {
		return 2, err
	}
	defer func() { _ = d.Close() }()
	t := &trial{deployment: d, record: record, streams: d.NewStreams(adapters, events)}
	if err := t.start(); err != nil {
		return 2, err
	}
	var work sync.WaitGroup
	var disturbed error
	if trouble := os.Getenv("TROUBLE"); trouble != "0" {
		work.Go(func() { disturbed = t.disturb(trouble != "kill", trouble != "down") })
	}
	t.streams.Request(trafficStart, trafficEnd, streamInterval)
	work.Wait()
	if disturbed != nil {
		return 2, disturbed
	}
	return t.judge(), nil
}

// start starts workers of two software versions in each zone.
func (t *trial) start() error {
	t.deployment.SetConfig(imitator.StreamConfig)
	for i, zone := range imitator.Zones {
		for _, software := range []string{"v1", "v2"} {
			if err := t.streams.AddEngine(fmt.Sprintf("i-%s-%d", software, i), zone, software); err != nil {
				return fmt.Errorf("start: %w", err)
			}
		}
	}
	var err error
	if t.hosts, err = t.deployment.AddHosts(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return nil
}

// disturb takes the store down, or kills one machine meanwhile, or both.
func (t *trial) disturb(down, kill bool) error {
	time.Sleep(downAt - t.record.Now())
	if down {
		t.deployment.SetStoreDown(true)
	}
	time.Sleep(killAfter)
	var killed error
	var killing sync.WaitGroup
	if kill {
		killing.Go(func() { killed = t.hosts[0].Crash() })
	}
	time.Sleep(downTime - killAfter)
	if down {
		t.deployment.SetStoreDown(false)
	}
	killing.Wait()
	return killed
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
