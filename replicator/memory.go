package replicator

import (
	"sync"
	"time"
)

// maxRecords limits the records that a host keeps; some 200 bytes each.
const maxRecords = 32768

// entry is a record that the memory keeps.
type entry struct {
	Record
	at  time.Time // when it was added
	own bool      // the stream began at this host
}

// memory holds the records of the lifetime of a stream.
type memory struct {
	lifetime time.Duration
	mu       sync.Mutex
	byKey    map[string]entry
	order    []entry   // by time
	dropped  time.Time // of the latest record that was dropped before its time
}

func newMemory(lifetime time.Duration) *memory {
	return &memory{lifetime: lifetime, byKey: make(map[string]entry)}
}

// add adds records. Those that are known are left as they are.
func (m *memory) add(now time.Time, own bool, records ...Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	for _, r := range records {
		if _, known := m.byKey[r.key]; known {
			continue
		}
		if len(m.order) >= maxRecords {
			m.dropped = m.order[0].at
			m.removeFirst()
		}
		e := entry{Record: r, at: now, own: own}
		m.byKey[r.key] = e
		m.order = append(m.order, e)
	}
}

// expire requires mu.
func (m *memory) expire(now time.Time) {
	for len(m.order) > 0 && now.Sub(m.order[0].at) > m.lifetime {
		m.removeFirst()
	}
}

func (m *memory) removeFirst() {
	delete(m.byKey, m.order[0].key)
	m.order = m.order[1:]
}

func (m *memory) find(now time.Time, key string) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	e, ok := m.byKey[key]
	return e.Record, ok
}

// span returns the time before now in which no record was dropped.
func (m *memory) span(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.dropped)
}

// ownRecords returns the records of the streams that began at this host.
func (m *memory) ownRecords(now time.Time) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	var list []Record
	for _, e := range m.order {
		if e.own {
			list = append(list, e.Record)
		}
	}
	return list
}
