package replicator

import (
	"slices"
	"sync"
	"time"
)

// maxRecords limits the records that a host keeps; some 250 bytes each.
const maxRecords = 32768

// entry is a record that the memory keeps.
type entry struct {
	Record
	at   time.Time // when the stream began
	kept []uint64  // processes of other hosts that have the record
}

// memory holds the records of the lifetime of a stream.
type memory struct {
	lifetime time.Duration
	mu       sync.Mutex
	byKey    map[string]*entry
	order    []*entry  // by time
	dropped  time.Time // of the latest record that was dropped before its time
}

func newMemory(lifetime time.Duration) *memory {
	return &memory{lifetime: lifetime, byKey: make(map[string]*entry)}
}

// newEntry returns the entry of a record that processes of other hosts have.
func newEntry(now time.Time, r Record, kept ...uint64) *entry {
	return &entry{Record: r, at: now.Add(-r.age), kept: kept}
}

// add adds entries. Records that are known are left as they are.
func (m *memory) add(now time.Time, entries ...*entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range entries {
		if _, known := m.byKey[e.key]; known || e.age > m.lifetime {
			continue
		}
		i, _ := slices.BinarySearchFunc(m.order, e.at, func(old *entry, at time.Time) int {
			if old.at.After(at) {
				return 1
			}
			return -1 // records of the same time stay in the order in which they were added
		})
		m.byKey[e.key] = e
		m.order = slices.Insert(m.order, i, e)
	}
	m.expire(now)
	for len(m.order) > maxRecords {
		m.dropped = m.order[0].at
		m.removeFirst()
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
	if e, ok := m.byKey[key]; ok {
		return e.Record, true
	}
	return Record{}, false
}

// span returns the time before now in which no record was dropped.
func (m *memory) span(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.dropped)
}

// records returns all records with their ages.
func (m *memory) records(now time.Time) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	list := make([]Record, 0, len(m.order))
	for _, e := range m.order {
		list = append(list, e.Aged(now.Sub(e.at)))
	}
	return list
}

// lacking returns the records with some keys that a process may lack, with their ages.
func (m *memory) lacking(now time.Time, process uint64, keys []string) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	var list []Record
	for _, key := range keys {
		if e, ok := m.byKey[key]; ok && !slices.Contains(e.kept, process) {
			list = append(list, e.Aged(now.Sub(e.at)))
		}
	}
	return list
}

// markKept records that a process has copies of records.
func (m *memory) markKept(process uint64, records []Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		if e, ok := m.byKey[r.key]; ok && !slices.Contains(e.kept, process) {
			e.kept = append(e.kept, process)
		}
	}
}
