package impersonator

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	Failure = 2
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// Case is what the parts of a case share.
type Case struct {
	Record *Record
	Store  *Store
	// Trouble is whether the disruption takes place.
	Trouble bool
	folder  string

	mu    sync.Mutex
	hosts []*Host
}

// Run plays the case whose folder is the first argument, and ends the process. Play returns
// whether the rule held.
func Run(play func(c *Case) (held bool, err error)) { os.Exit(run(play)) }

func run(play func(c *Case) (held bool, err error)) int {
	if len(os.Args) != 2 {
		fmt.Println("usage: PROGRAM FOLDER")
		return Failure
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return Failure
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return Failure
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store, err := NewStore("127.0.1.1")
	if err != nil {
		fmt.Println(err)
		return Failure
	}
	defer store.Close()
	c := &Case{Record: record, Store: store, Trouble: os.Getenv("TROUBLE") != "0", folder: folder}
	defer c.killHosts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		held bool
		err  error
	}
	results := make(chan result, 1)
	go func() {
		held, err := play(c)
		results <- result{held, err}
	}()
	select {
	case <-time.After(maxTime):
		record.Printf("the case took too long")
		return Failure
	case <-signals:
		record.Printf("the case was stopped")
		return Failure
	case r := <-results:
		switch {
		case r.err != nil:
			record.Printf("the case could not run: %v", r.err)
			fmt.Println(r.err)
			return Failure
		case r.held:
			return Held
		}
		return Broken
	}
}

func (c *Case) killHosts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.Kill()
	}
}

// StartHosts starts hosts, one in each zone, and waits until they are ready.
func (c *Case) StartHosts() ([]*Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range Zones {
		h, err := NewHost(c.folder, i, c.Store.Address())
		if err != nil {
			return nil, err
		}
		if err := h.Start(); err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, h)
	}
	for _, h := range c.hosts {
		if err := h.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return c.hosts, nil
}
