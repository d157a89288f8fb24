package reporter

import (
	"cmp"
	"crypto/rand"
	"fmt"
	"slices"
	"strings"
	"time"
)

const minutesPerHour = 60

// maxNamed bounds the adapters that one hour counts by name, because the ones
// with the most requests change from minute to minute.
const maxNamed = 24

// maxSeries bounds the series of one hour, where bundles with other levels follow
// each other.
const maxSeries = 2 * maxLevels * (columnsFixed + maxNamed)

// hour collects the settled minutes of one hour.
type hour struct {
	start  time.Time
	run    string // tells apart what several starts of a node count in an hour
	series map[series]*[minutesPerHour]count
	named  map[string]bool
	dirty  bool   // has counts that are not stored
	stored string // key of the newest object; of the flushing goroutine
}

func newHour(start time.Time) *hour {
	return &hour{start: start, run: rand.Text(), series: make(map[series]*[minutesPerHour]count), named: make(map[string]bool)}
}

// add counts a sample, and reports whether there was room for it.
func (h *hour) add(s sample) bool {
	if a, ok := s.subject.(Adapter); ok && !h.admit(a) {
		s.subject = OtherAdapters{}
	}
	counts, ok := h.series[s.series]
	if !ok {
		if len(h.series) >= maxSeries {
			return false
		}
		counts = new([minutesPerHour]count)
		h.series[s.series] = counts
	}
	counts[s.minute.Minute()].add(s.count)
	h.dirty = true
	return true
}

func (h *hour) admit(a Adapter) bool {
	if !h.named[a.name] && len(h.named) < maxNamed {
		h.named[a.name] = true
	}
	return h.named[a.name]
}

// total returns the events of the hour, once per level.
func (h *hour) total() int64 {
	var n uint64
	for _, counts := range h.series {
		for _, c := range counts {
			n += c.total()
		}
	}
	return int64(n)
}

// sorted returns the series in a fixed order.
func (h *hour) sorted() []series {
	list := make([]series, 0, len(h.series))
	for s := range h.series {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b series) int {
		return cmp.Or(compareLevels(a.level, b.level), strings.Compare(a.subject.String(), b.subject.String()))
	})
	return list
}

// Keys of objects.
const (
	prefix     = "report/"
	hourFormat = "2006-01-02T15"
)

// objectKey names one object. An object holds all that a node has counted in an
// hour so far, so that a later object replaces the earlier ones of the same run,
// and a write whose answer was lost counts nothing twice.
type objectKey struct {
	node     string
	hour     time.Time
	run      string
	sequence uint64
}

func (k objectKey) String() string {
	return fmt.Sprintf("%s%s/%s/%s-%06d", prefix, k.node, k.hour.UTC().Format(hourFormat), k.run, k.sequence)
}

// parseKey returns false for a key that is not of this package.
func parseKey(text string) (objectKey, bool) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return objectKey{}, false
	}
	rest, last, ok := cutLast(rest, "/")
	if !ok {
		return objectKey{}, false
	}
	node, stamp, ok := cutLast(rest, "/")
	if !ok || node == "" {
		return objectKey{}, false
	}
	k := objectKey{node: node}
	var err error
	if k.hour, err = time.Parse(hourFormat, stamp); err != nil {
		return objectKey{}, false
	}
	var digits string
	k.run, digits, ok = cutLast(last, "-")
	if !ok || k.run == "" {
		return objectKey{}, false
	}
	if _, err := fmt.Sscanf(digits, "%d", &k.sequence); err != nil {
		return objectKey{}, false
	}
	return k, k.String() == text
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
