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

// maxNamedAdapters bounds the adapters that are counted by name in one hour. It
// is needed because the adapters with the most requests change from minute to
// minute.
const maxNamedAdapters = 24

// maxSeries bounds the series of one hour. It allows for two bundles with
// different levels in the same hour.
const maxSeries = 2 * maxLevels * (fixedColumns + maxNamedAdapters)

// hour holds the counts of one hour, added up from settled minutes.
type hour struct {
	start     time.Time
	run       string // random id that distinguishes several runs of a node in the same hour
	series    map[series]*[minutesPerHour]count
	named     map[string]bool
	dirty     bool   // has counts that are not stored yet
	storedKey string // key of the newest object; used only by the goroutine that flushes
}

func newHour(start time.Time) *hour {
	return &hour{start: start, run: rand.Text(), series: make(map[series]*[minutesPerHour]count), named: make(map[string]bool)}
}

// add adds a sample. It returns false if the hour has too many series for it.
func (h *hour) add(s sample) bool {
	if a, ok := s.subject.(Adapter); ok && !h.countByName(a) {
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

// countByName reports whether an adapter is counted by name in this hour. The
// first maxNamedAdapters adapters are.
func (h *hour) countByName(a Adapter) bool {
	if !h.named[a.name] && len(h.named) < maxNamedAdapters {
		h.named[a.name] = true
	}
	return h.named[a.name]
}

// total returns the sum of all counts of the hour. An event counts once per
// level.
func (h *hour) total() int64 {
	var n uint64
	for _, counts := range h.series {
		for _, c := range counts {
			n += c.total()
		}
	}
	return int64(n)
}

// sortedSeries returns the series ordered by level and subject.
func (h *hour) sortedSeries() []series {
	list := make([]series, 0, len(h.series))
	for s := range h.series {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b series) int {
		return cmp.Or(compareLevels(a.level, b.level), strings.Compare(a.subject.String(), b.subject.String()))
	})
	return list
}

// Parts of object keys.
const (
	prefix     = "report/"
	hourFormat = "2006-01-02T15"
)

// objectKey is the key of a stored object. An object holds all counts of a node
// in an hour so far. A later object replaces the earlier ones of the same run, so
// a write whose response was lost does not count anything twice.
type objectKey struct {
	node     string
	hour     time.Time
	run      string
	sequence uint64
}

func (k objectKey) String() string {
	return fmt.Sprintf("%s%s/%s/%s-%06d", prefix, k.node, k.hour.UTC().Format(hourFormat), k.run, k.sequence)
}

// parseKey parses an object key. It returns false for a key of another format.
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

// cutLast slices s around the last instance of sep.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}
