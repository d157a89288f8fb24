package reporter

import (
	"fmt"
	"regexp"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/encoder"
)

// objectFormat is the format version of stored objects. Readers reject others.
const objectFormat = 1

// objectDocument is a stored object.
type objectDocument struct {
	Format int              `cbor:"1,keyasint"`
	Region string           `cbor:"2,keyasint"`
	Levels []levelDocument  `cbor:"3,keyasint"`
	Series []seriesDocument `cbor:"4,keyasint"`
}

type levelDocument struct {
	Name      string  `cbor:"1,keyasint"`
	Measure   string  `cbor:"2,keyasint"`
	Threshold int64   `cbor:"3,keyasint"` // nanoseconds
	Objective float64 `cbor:"4,keyasint"`
}

// seriesDocument holds the counts of consecutive minutes from First on.
type seriesDocument struct {
	Level   int      `cbor:"1,keyasint"` // index of Levels
	Kind    int      `cbor:"2,keyasint"`
	Adapter string   `cbor:"3,keyasint,omitempty"`
	First   int      `cbor:"4,keyasint"`
	Good    []uint64 `cbor:"5,keyasint"`
	Bad     []uint64 `cbor:"6,keyasint"`
}

// Values of seriesDocument.Kind.
const (
	kindServices = iota
	kindOtherAdapters
	kindAdapter
)

func encodeHour(region string, h *hour) ([]byte, error) {
	doc := objectDocument{Format: objectFormat, Region: region}
	for _, s := range h.sortedSeries() {
		last := len(doc.Levels) - 1
		level := levelDocument{s.level.name, s.level.measure, int64(s.level.threshold), s.level.objective}
		if last < 0 || doc.Levels[last] != level {
			doc.Levels = append(doc.Levels, level)
			last++
		}
		doc.Series = append(doc.Series, newSeriesDocument(last, s.subject, h.series[s]))
	}
	return encoder.Marshal(doc)
}

func newSeriesDocument(level int, subject Subject, counts *[minutesPerHour]count) seriesDocument {
	d := seriesDocument{Level: level}
	switch s := subject.(type) {
	case Services:
		d.Kind = kindServices
	case OtherAdapters:
		d.Kind = kindOtherAdapters
	case Adapter:
		d.Kind, d.Adapter = kindAdapter, s.name
	}
	end := minutesPerHour
	for end > 0 && counts[end-1].total() == 0 {
		end--
	}
	for d.First < end && counts[d.First].total() == 0 {
		d.First++
	}
	for _, c := range counts[d.First:end] {
		d.Good = append(d.Good, c.good)
		d.Bad = append(d.Bad, c.bad)
	}
	return d
}

// ErrInvalidObject reports a stored object with invalid contents.
var ErrInvalidObject = eris.New("invalid report object")

// maxCount is the maximum count of one minute; it ensures that sums cannot
// overflow.
const maxCount = 1 << 40

// validName matches the names that bundles allow. It protects HTML pages and
// terminals, in which names are printed, from other characters.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)

// block is the counts of a series in consecutive minutes from start on.
type block struct {
	series
	start  time.Time
	counts []count
}

// decodeHour decodes and validates an object. It returns the region of the node
// that wrote it and its blocks.
func decodeHour(data []byte, start time.Time) (string, []block, error) {
	doc, err := encoder.Unmarshal[objectDocument](data)
	if err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrInvalidObject, err)
	}
	levels, err := doc.validate()
	if err != nil {
		return "", nil, err
	}
	blocks := make([]block, len(doc.Series))
	for i, d := range doc.Series {
		b := block{
			series: series{level: levels[d.Level], subject: d.subject()},
			start:  start.Add(time.Duration(d.First) * time.Minute),
			counts: make([]count, len(d.Good)),
		}
		for j := range b.counts {
			b.counts[j] = count{good: d.Good[j], bad: d.Bad[j]}
		}
		blocks[i] = b
	}
	return doc.Region, blocks, nil
}

func (d *objectDocument) validate() ([]Level, error) {
	if d.Format != objectFormat {
		return nil, fmt.Errorf("%w: format is %d; expected %d", ErrInvalidObject, d.Format, objectFormat)
	}
	if !validName.MatchString(d.Region) {
		return nil, fmt.Errorf("%w: region %.200q is not a name", ErrInvalidObject, d.Region)
	}
	if len(d.Series) > maxSeries || len(d.Levels) > maxSeries {
		return nil, fmt.Errorf("%w: %d series and %d levels are too many", ErrInvalidObject, len(d.Series), len(d.Levels))
	}
	levels := make([]Level, len(d.Levels))
	for i, l := range d.Levels {
		// The comparison of the objective also rejects NaN.
		if !validName.MatchString(l.Name) || !validName.MatchString(l.Measure) || !(l.Objective > 0 && l.Objective < 1) || l.Threshold < 0 {
			return nil, fmt.Errorf("%w: level %d is out of range", ErrInvalidObject, i)
		}
		levels[i] = Level{name: l.Name, measure: l.Measure, threshold: time.Duration(l.Threshold), objective: l.Objective}
	}
	for i, s := range d.Series {
		if err := s.validate(len(levels)); err != nil {
			return nil, fmt.Errorf("series %d: %w", i, err)
		}
	}
	return levels, nil
}

func (d *seriesDocument) validate(levels int) error {
	if d.Level < 0 || d.Level >= levels {
		return fmt.Errorf("%w: level %d does not exist", ErrInvalidObject, d.Level)
	}
	if d.Kind < kindServices || d.Kind > kindAdapter || (d.Kind == kindAdapter) != validName.MatchString(d.Adapter) {
		return fmt.Errorf("%w: kind %d with adapter %.200q", ErrInvalidObject, d.Kind, d.Adapter)
	}
	if len(d.Good) != len(d.Bad) || d.First < 0 || d.First > minutesPerHour || d.First+len(d.Good) > minutesPerHour {
		return fmt.Errorf("%w: %d and %d counts from minute %d", ErrInvalidObject, len(d.Good), len(d.Bad), d.First)
	}
	for i := range d.Good {
		if max(d.Good[i], d.Bad[i]) > maxCount {
			return fmt.Errorf("%w: count %d is above %d", ErrInvalidObject, max(d.Good[i], d.Bad[i]), uint64(maxCount))
		}
	}
	return nil
}

func (d *seriesDocument) subject() Subject {
	switch d.Kind {
	case kindServices:
		return Services{}
	case kindAdapter:
		return NewAdapter(d.Adapter)
	default:
		return OtherAdapters{}
	}
}
