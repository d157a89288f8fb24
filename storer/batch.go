package storer

import "math"

const (
	// maxBatchBytes bounds the keys and values of a batch. A store may take 1 MB of them
	// with their encoding, which makes them up to twice as large.
	maxBatchBytes = 400_000
	// entryOverhead is what the encoding of an entry takes besides its key and value, in
	// bytes.
	entryOverhead = 100
)

// Entries returns the number of entries that a write takes in a commit: its condition, and
// the change of the row.
func Entries(w Write) int {
	if _, ok := w.(Check); ok {
		return 1
	}
	return 2
}

// size returns the bytes that a write takes in a commit, about.
func size(w Write) int {
	n := Entries(w) * (len(w.Key()) + entryOverhead)
	if put, ok := w.(Put); ok {
		n += len(put.value)
	}
	return n
}

// Limited is a Committer that takes a limited number of entries in one commit.
type Limited interface {
	// MaxEntries returns the largest number of entries of a commit.
	MaxEntries() int
}

// Batch is a set of writes that fits into one commit.
type Batch struct {
	writes     []Write
	maxEntries int
	entries    int
	bytes      int
}

// NewBatch returns an empty batch for a committer. The number of entries is not limited
// unless the committer is Limited.
func NewBatch(c Committer) *Batch {
	if l, ok := c.(Limited); ok {
		return &Batch{maxEntries: l.MaxEntries()}
	}
	return &Batch{maxEntries: math.MaxInt}
}

// Add adds writes that have to be in one commit, and reports whether they fit. If not, the
// batch is as before.
func (b *Batch) Add(group ...Write) bool {
	entries, bytes := b.entries, b.bytes
	for _, w := range group {
		entries += Entries(w)
		bytes += size(w)
	}
	if entries > b.maxEntries || bytes > maxBatchBytes && len(b.writes) > 0 {
		return false
	}
	b.writes = append(b.writes, group...)
	b.entries, b.bytes = entries, bytes
	return true
}

// Writes returns the writes of the batch in the order in which they were added.
func (b *Batch) Writes() []Write { return b.writes }

// Batches splits writes that do not depend on each other into batches for a committer.
func Batches(c Committer, writes []Write) []*Batch {
	var list []*Batch
	for _, w := range writes {
		if len(list) == 0 || !list[len(list)-1].Add(w) {
			next := NewBatch(c)
			next.Add(w)
			list = append(list, next)
		}
	}
	return list
}
