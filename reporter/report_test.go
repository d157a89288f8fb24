package reporter_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/encoder"
	"github.com/dragonflyford/dragonflyford/reporter"
)

// The stored format, defined again so that tests detect changes to it.
type (
	storedObject struct {
		Format int            `cbor:"1,keyasint"`
		Region string         `cbor:"2,keyasint"`
		Levels []storedLevel  `cbor:"3,keyasint"`
		Series []storedSeries `cbor:"4,keyasint"`
	}
	storedLevel struct {
		Name      string  `cbor:"1,keyasint"`
		Measure   string  `cbor:"2,keyasint"`
		Threshold int64   `cbor:"3,keyasint"`
		Objective float64 `cbor:"4,keyasint"`
	}
	storedSeries struct {
		Level   int      `cbor:"1,keyasint"`
		Kind    int      `cbor:"2,keyasint"`
		Adapter string   `cbor:"3,keyasint,omitempty"`
		First   int      `cbor:"4,keyasint"`
		Good    []uint64 `cbor:"5,keyasint"`
		Bad     []uint64 `cbor:"6,keyasint"`
	}
)

var now = time.Date(2026, 12, 4, 12, 3, 0, 0, time.UTC) // the report ends at 12:00

func stored(region string, s ...storedSeries) storedObject {
	return storedObject{Format: 1, Region: region, Levels: []storedLevel{{"success", "success", 0, 0.9}}, Series: s}
}

func put(t testing.TB, objects *emulator.Objects, key string, doc storedObject) {
	t.Helper()
	body, err := encoder.Marshal(doc)
	is.New(t).NoErr(err)
	is.New(t).NoErr(objects.Put(t.Context(), key, body))
}

// constant returns a series with the same counts in each minute of an hour.
func constant(first, minutes int, good, bad uint64) storedSeries {
	s := storedSeries{Kind: 1, First: first}
	for range minutes {
		s.Good, s.Bad = append(s.Good, good), append(s.Bad, bad)
	}
	return s
}

// Guards against alarms that are raised by one window alone or by a few events,
// and against alarms that are missing.
func TestAlarms(t *testing.T) {
	tests := []struct {
		name  string
		hours func(ago int) storedSeries // counts of the hour that starts ago hours before the end
		want  string
	}{
		{"no bad events", func(int) storedSeries { return constant(0, 60, 10, 0) }, "-"},
		{"all bad for an hour is 10 times the budget", func(ago int) storedSeries { return constant(0, 60, 1, uint64(60/(ago*ago*ago*ago))) }, "soon"},
		{"long windows without the short window", func(ago int) storedSeries {
			if ago == 1 {
				return constant(0, 60, 10, 0)
			}
			return constant(0, 60, 0, 10)
		}, "slow"},
		{"short window without the long windows", func(ago int) storedSeries {
			if ago == 1 {
				return constant(55, 5, 0, 1000)
			}
			return constant(0, 60, 1000, 0)
		}, "-"},
		{"slow burn", func(int) storedSeries { return constant(0, 60, 8, 1) }, "slow"},
		{"few events", func(ago int) storedSeries {
			if ago == 1 {
				return constant(0, 9, 0, 1)
			}
			return constant(0, 1, 0, 0)
		}, "-"},
		{"enough events", func(ago int) storedSeries {
			if ago == 1 {
				return constant(0, 10, 0, 1)
			}
			return constant(0, 1, 0, 0)
		}, "soon"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			objects := emulator.NewObjects()
			for ago := 1; ago <= 72; ago++ {
				start := now.Add(-reporter.Lag - time.Duration(ago)*time.Hour)
				put(t, objects, fmt.Sprintf("report/n1/%s/run-000001", start.Format("2006-01-02T15")), stored("lj", tt.hours(ago)))
			}
			r, err := reporter.Read(t.Context(), objects, now, reporter.ThreeDays)
			is.NoErr(err)
			got := "-"
			if a := r.Lines()[0].Alarm(); a != nil {
				got = a.String()
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against an urgent alarm that is never raised. With an objective of 0.9
// the burn rate cannot reach the limit of 14.4; with 0.99 it can.
func TestUrgent(t *testing.T) {
	is := is.New(t)
	objects := emulator.NewObjects()
	doc := stored("lj", constant(0, 60, 85, 15))
	doc.Levels[0].Objective = 0.99
	put(t, objects, "report/n1/2026-12-04T11/run-000001", doc)
	r, err := reporter.Read(t.Context(), objects, now, reporter.OneHour)
	is.NoErr(err)
	is.Equal(r.Lines()[0].Alarm(), reporter.Urgent{})
}

// Guards against merging an older object of a run in addition to the newer one,
// hours outside the windows, and objects with other keys or invalid contents.
func TestMerge(t *testing.T) {
	is := is.New(t)
	objects := emulator.NewObjects()
	one := storedSeries{Kind: 2, Adapter: "a", First: 59, Good: []uint64{1}, Bad: []uint64{0}}
	put(t, objects, "report/n1/2026-12-04T11/run-000009", stored("lj", constant(0, 60, 50, 50)))
	put(t, objects, "report/n1/2026-12-04T11/run-000010", stored("lj", one))
	put(t, objects, "report/n1/2026-12-04T11/other-000001", stored("lj", one))
	put(t, objects, "report/n2/2026-12-04T11/run-000001", stored("mb", one, storedSeries{First: 0, Good: []uint64{0}, Bad: []uint64{1}}))
	put(t, objects, "report/n2/2026-12-01T10/run-000001", stored("mb", one)) // before three days
	put(t, objects, "report/n2/2026-12-04T12/run-000001", stored("mb", one)) // after the end
	put(t, objects, "report/n2/notes", stored("mb", one))
	is.NoErr(objects.Put(t.Context(), "report/n3/2026-12-04T11/run-000001", []byte("text")))
	r, err := reporter.Read(t.Context(), objects, now, reporter.ThreeDays)
	is.NoErr(err)
	is.Equal(counts(r, "success", "everywhere"), [2]uint64{3, 1})
	is.Equal(counts(r, "success", "region lj"), [2]uint64{2, 0})
	is.Equal(counts(r, "success", "region mb"), [2]uint64{1, 1})
	is.Equal(counts(r, "success", "adapter a"), [2]uint64{3, 0})
	is.Equal(counts(r, "success", "services"), [2]uint64{0, 1})
	is.Equal(r.Failed(), 1)
	is.Equal(r.Nodes(), 2)
}

// Guards against output without the counts, and against an HTML page that loads
// other resources.
func TestOutput(t *testing.T) {
	is := is.New(t)
	objects := emulator.NewObjects()
	put(t, objects, "report/n1/2026-12-04T11/run-000001", stored("lj", constant(0, 60, 3, 1)))
	put(t, objects, "report/n2/2026-12-04T11/run-000001", stored("mb", constant(0, 60, 4, 0)))
	r, err := reporter.Read(t.Context(), objects, now, reporter.SixHours)
	is.NoErr(err)

	var text, page bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.True(strings.Contains(text.String(), "until 2026-12-04T12:00:00Z, from 2 objects of 2 nodes"))
	is.True(strings.Contains(text.String(), "success  region lj       2.50     2.50     2.50     180   60"))

	encoded, err := json.Marshal(r)
	is.NoErr(err)
	is.True(strings.Contains(string(encoded), `{"window":"5m","good":35,"bad":5,"burn":1.25`))

	is.NoErr(r.WriteHTML(&page))
	is.True(strings.Contains(page.String(), "<svg"))
	is.True(strings.Contains(page.String(), "region mb"))
	for _, outside := range []string{"<script", "<link", "src=", "href=", "@import", "url("} {
		is.True(!strings.Contains(page.String(), outside))
	}
	is.True(!strings.Contains(strings.ReplaceAll(page.String(), "http://www.w3.org/", ""), "://"))
}

// Guards against a report that fails because the store is empty.
func TestNothingRecorded(t *testing.T) {
	is := is.New(t)
	r, err := reporter.Read(t.Context(), emulator.NewObjects(), now, reporter.ThreeDays)
	is.NoErr(err)
	var text bytes.Buffer
	is.NoErr(r.WriteText(&text))
	is.True(strings.Contains(text.String(), "no events"))
	is.NoErr(r.WriteHTML(&text))
}

// FuzzRead guards against keys and contents of objects that crash the reader or
// are written to a page without escaping.
func FuzzRead(f *testing.F) {
	for _, doc := range []storedObject{
		stored("lj", constant(0, 60, 3, 1)),
		stored("lj", storedSeries{Kind: 2, Adapter: "a", First: 59, Good: []uint64{1 << 40}, Bad: []uint64{1}}),
		stored("lj", storedSeries{Level: 1, Good: []uint64{1}, Bad: []uint64{1}}),
		stored("lj", storedSeries{First: 60, Good: []uint64{1}, Bad: []uint64{1}}),
		stored("lj", storedSeries{First: 1 << 62, Good: []uint64{1}, Bad: []uint64{1}}),
		stored("lj", storedSeries{Good: []uint64{1}}),
		stored("<script>", constant(0, 1, 1, 1)),
		{Format: 2, Region: "lj"},
	} {
		body, err := encoder.Marshal(doc)
		is.New(f).NoErr(err)
		f.Add("n1/2026-12-04T11/run-000001", body)
	}
	f.Fuzz(func(t *testing.T, key string, body []byte) {
		is := is.New(t)
		objects := emulator.NewObjects()
		is.NoErr(objects.Put(t.Context(), "report/"+key, body))
		r, err := reporter.Read(t.Context(), objects, now, reporter.OneHour)
		is.NoErr(err)
		is.True(r.Objects()+r.Failed() <= 1)
		var text, page bytes.Buffer
		is.NoErr(r.WriteText(&text))
		is.NoErr(r.WriteHTML(&page))
		is.True(!strings.Contains(page.String(), "<script"))
		_, err = json.Marshal(r)
		is.NoErr(err)
	})
}
