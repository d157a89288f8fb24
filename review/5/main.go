// Command 5 shows that streams which requesters take up again are refused for two minutes
// after the store came back from an older copy.
package main

import (
	"fmt"
	"net/http"
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
	killAt         = 40 * time.Second
	trafficEnd     = 45 * time.Second
	streamInterval = 25 * time.Millisecond // between two new streams
	adapters       = 24
	events         = 57
	minTakenUp     = 12              // streams for the rule to be judged
	newWindow      = 5 * time.Second // before the kill, in which new streams are counted
)

// trial is one run of the case.
type trial struct {
	deployment *imitator.Deployment
	record     *imitator.Recorder
	streams    *imitator.Streams
	hosts      []*imitator.Host
	killed     time.Time
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

// start starts workers of two software versions, most of them of the older one.
func (t *trial) start() error {
	t.deployment.SetConfig(imitator.StreamConfig)
	for i, zone := range imitator.Zones {
		for n, software := range []string{"v1", "v1", "v1", "v2"} {
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

// disturb restores the store from a copy, unless there is to be no drill, and kills one
// machine later, so that requesters take streams up again.
func (t *trial) disturb(drill bool) error {
	time.Sleep(copyAt - t.record.Now())
	c := t.deployment.Store.Copy()
	time.Sleep(drillAt - t.record.Now())
	if drill {
		t.deployment.Drill(c, awayTime)
	}
	time.Sleep(killAt - t.record.Now())
	t.killed = time.Now()
	return t.hosts[0].Crash()
}

// judge returns 1 if the share of the streams taken up again that go on is under half of
// the share of the new streams that begin.
func (t *trial) judge() int {
	var added, begun, takenUp, goneOn, complete int
	for _, s := range t.streams.List() {
		if s.Complete() {
			complete++
		}
		resumed, events := false, 0
		for _, a := range s.Attempts() {
			switch {
			case a.Resumed && a.Sent.After(t.killed) && a.Address != t.hosts[0].Front():
				resumed = true
				events += a.Reply.Events
			case !a.Resumed && a.Sent.Before(t.killed) && t.killed.Sub(a.Sent) < newWindow:
				added++
				if a.Reply.Status == http.StatusOK && a.Reply.Events > 0 {
					begun++
				}
			}
		}
		if resumed {
			takenUp++
			if events > 0 {
				goneOn++
			}
		}
	}
	summary := fmt.Sprintf("%d streams, %d complete; of %d new ones before the kill %d began; of %d taken up again %d went on",
		len(t.streams.List()), complete, added, begun, takenUp, goneOn)
	t.record.Printf("%s", summary)
	fmt.Println(summary)
	if takenUp >= minTakenUp && 2*goneOn*added < takenUp*begun {
		return 1
	}
	return 0
}
