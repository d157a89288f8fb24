// Command 4 shows that streams are joined from events of two software versions at a machine
// that was added after the store came back from an older copy.
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
	copyAt         = 15 * time.Second // when the copy of the store is made
	drillAt        = 20 * time.Second
	awayTime       = 1500 * time.Millisecond
	addAt          = 22 * time.Second
	killAt         = 27 * time.Second
	trafficEnd     = 30 * time.Second
	streamInterval = 25 * time.Millisecond // between two new streams
	adapters       = 24
	events         = 120
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
	work.Go(func() { disturbed = t.disturb(os.Getenv("TROUBLE") != "0") })
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
		for n, software := range []string{"v1", "v1", "v2", "v2"} {
			if err := t.streams.AddEngine(fmt.Sprintf("i-%s-%d-%d", software, i, n), zone, software); err != nil {
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

// disturb restores the store from a copy, unless there is to be no drill, adds a machine,
// and kills one of the same zone.
func (t *trial) disturb(drill bool) error {
	time.Sleep(copyAt - t.record.Now())
	c := t.deployment.Store.Copy()
	time.Sleep(drillAt - t.record.Now())
	if drill {
		t.deployment.Drill(c, awayTime)
	}
	time.Sleep(addAt - t.record.Now())
	if _, err := t.deployment.AddHost(t.hosts[0].Zone()); err != nil {
		return fmt.Errorf("add machine: %w", err)
	}
	time.Sleep(killAt - t.record.Now())
	return t.hosts[0].Crash()
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
