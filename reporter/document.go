package reporter

import (
	"encoding/json"
	"time"
)

// ReportDocument is the JSON form of a report.
type ReportDocument struct {
	From    time.Time      `json:"from"`
	Until   time.Time      `json:"until"`
	Nodes   int            `json:"nodes"`
	Objects int            `json:"objects"`
	Failed  int            `json:"failed_objects"`
	Faults  []string       `json:"faults,omitempty"`
	Lines   []LineDocument `json:"lines"`
}

// LineDocument is one line of a report. At most one of Region, Adapter, Services
// and OtherAdapters is set; if none is, the line covers all events of the level.
type LineDocument struct {
	Level         string         `json:"level"`
	Measure       string         `json:"measure"`
	ThresholdMS   float64        `json:"threshold_ms,omitempty"`
	Objective     float64        `json:"objective"`
	Region        string         `json:"region,omitempty"`
	Adapter       string         `json:"adapter,omitempty"`
	Services      bool           `json:"services,omitempty"`
	OtherAdapters bool           `json:"other_adapters,omitempty"`
	Windows       []RateDocument `json:"windows"`
	// Alarm is "urgent", "soon", "slow" or absent.
	Alarm string `json:"alarm,omitempty"`
}

// RateDocument is the burn rate in one window.
type RateDocument struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
	Burn   float64 `json:"burn"`
}

// MarshalJSON encodes the report as a ReportDocument.
func (r *Report) MarshalJSON() ([]byte, error) { return json.Marshal(r.document()) }

func (r *Report) document() ReportDocument {
	doc := ReportDocument{
		From: r.from, Until: r.until, Nodes: r.nodes, Objects: r.objects, Failed: r.failed,
		Lines: make([]LineDocument, 0, len(r.lines)),
	}
	for _, err := range r.faults {
		doc.Faults = append(doc.Faults, err.Error())
	}
	for _, l := range r.lines {
		doc.Lines = append(doc.Lines, l.document())
	}
	return doc
}

func (l *Line) document() LineDocument {
	doc := LineDocument{
		Level:       l.level.name,
		Measure:     l.level.measure,
		ThresholdMS: float64(l.level.threshold) / float64(time.Millisecond),
		Objective:   l.level.objective,
	}
	if a := l.Alarm(); a != nil {
		doc.Alarm = a.String()
	}
	switch s := l.scope.(type) {
	case InRegion:
		doc.Region = s.region
	case OfSubject:
		doc.setSubject(s.subject)
	}
	for _, r := range l.rates {
		doc.Windows = append(doc.Windows, RateDocument{Window: r.window.name, Good: r.Good(), Bad: r.Bad(), Burn: r.Burn()})
	}
	return doc
}

func (d *LineDocument) setSubject(s Subject) {
	switch s := s.(type) {
	case Adapter:
		d.Adapter = s.name
	case Services:
		d.Services = true
	case OtherAdapters:
		d.OtherAdapters = true
	}
}
