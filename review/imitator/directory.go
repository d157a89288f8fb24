package imitator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// resolveInterval is how long requesters keep an answer of the directory.
const resolveInterval = 2 * time.Second

// Directory is what the requesters of all zones know of the front addresses.
type Directory struct {
	deployment *Deployment
	mu         sync.Mutex
	addresses  map[string][]string // by zone
}

// NewDirectory returns a directory that asks the hosts until done is closed.
func (d *Deployment) NewDirectory(done <-chan struct{}) *Directory {
	dir := &Directory{deployment: d, addresses: make(map[string][]string)}
	dir.refresh()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(resolveInterval):
				dir.refresh()
			}
		}
	}()
	return dir
}

func (dir *Directory) refresh() {
	for _, zone := range Zones {
		hosts := slices.Clone(dir.deployment.hosts)
		// The nearest hosts are asked first.
		slices.SortStableFunc(hosts, func(a, b *Host) int {
			switch {
			case a.zone == zone && b.zone != zone:
				return -1
			case a.zone != zone && b.zone == zone:
				return 1
			default:
				return 0
			}
		})
		for _, h := range hosts[:min(3, len(hosts))] {
			list, err := h.Resolve(HostName, zone)
			if err != nil || len(list) == 0 {
				continue
			}
			dir.mu.Lock()
			dir.addresses[zone] = list
			dir.mu.Unlock()
			break
		}
	}
}

// Pick returns an address for a requester in a zone, but not one of those that failed it
// unless there is no other, or "" if none is known.
func (dir *Directory) Pick(zone string, failed ...string) string {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	list := dir.addresses[zone]
	if len(list) == 0 {
		return ""
	}
	rest := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return slices.Contains(failed, a) })
	if len(rest) == 0 {
		rest = list
	}
	return rest[rand.N(len(rest))]
}
