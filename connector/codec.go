package connector

import (
	"fmt"
	"strings"
	"time"
)

// EncodeModel returns the wire form of m.
func EncodeModel(m Model) AdapterDocument {
	return AdapterDocument{Base: m.base, Name: m.adapter, Version: m.version}
}

// DecodeModel returns the model that a document names.
func DecodeModel(d AdapterDocument) Model { return NewModel(d.Base, d.Name, d.Version) }

// ParseModel returns the model of a base and a name such as "reading@v1".
func ParseModel(base, name string) (Model, error) {
	adapter, version, ok := strings.Cut(name, "@")
	if !ok || adapter == "" || version == "" {
		return Model{}, fmt.Errorf("model %q is not of the form adapter@version", name)
	}
	return NewModel(base, adapter, version), nil
}

// EncodeJob returns the wire form of a job.
func EncodeJob(j Job) CompletionDocument {
	return CompletionDocument{
		Model:     j.model.String(),
		Base:      j.model.base,
		Prompt:    j.prompt,
		MaxTokens: j.maxTokens,
		Stream:    true,
		Seed:      j.seed,
		Priority:  j.priority,
		Attempt:   j.attempt,
		Request:   j.request,
		Next:      j.nextToken,
		Suspect:   j.suspect,
	}
}

// DecodeJob returns the job that a document describes.
func DecodeJob(d CompletionDocument) (Job, error) {
	m, err := ParseModel(d.Base, d.Model)
	if err != nil {
		return Job{}, err
	}
	if d.Next < 0 || d.MaxTokens < 0 {
		return Job{}, fmt.Errorf("next %d and max_tokens %d must not be negative", d.Next, d.MaxTokens)
	}
	opts := []JobOption{ResumeAt(d.Next), WithSeed(d.Seed), WithPriority(d.Priority)}
	if d.Suspect {
		opts = append(opts, Suspect())
	}
	return NewJob(d.Attempt, d.Request, m, d.Prompt, d.MaxTokens, opts...), nil
}

// EncodeChunk returns the wire form of a chunk.
func EncodeChunk(c Chunk) EventDocument {
	choice := ChoiceDocument{Text: c.text}
	if c.last {
		choice.FinishReason = finishLength
	}
	return EventDocument{
		Attempt: c.attempt,
		Model:   c.model.String(),
		Base:    c.model.base,
		Index:   c.index,
		Choices: []ChoiceDocument{choice},
	}
}

// DecodeChunk returns the chunk that an event describes.
func DecodeChunk(d *EventDocument) (Chunk, error) {
	m, err := ParseModel(d.Base, d.Model)
	if err != nil {
		return Chunk{}, err
	}
	if len(d.Choices) != 1 {
		return Chunk{}, fmt.Errorf("event has %d choices, not 1", len(d.Choices))
	}
	choice := d.Choices[0]
	return NewChunk(d.Attempt, m, d.Index, choice.Text, choice.FinishReason != ""), nil
}

// EncodeReport returns the wire form of a report.
func EncodeReport(r Report) ReportDocument {
	d := ReportDocument{
		Instance: r.instance,
		AgeUS:    r.age.Microseconds(),
		Resident: make([]AdapterDocument, 0, len(r.resident)),
		Running:  make([]RunningDocument, 0, len(r.running)),
		Queued:   r.queued,
		Batch:    r.batch,
		Prefixes: r.prefixes,
	}
	for _, m := range r.resident {
		d.Resident = append(d.Resident, EncodeModel(m))
	}
	for m, n := range r.running {
		d.Running = append(d.Running, RunningDocument{AdapterDocument: EncodeModel(m), Count: n})
	}
	return d
}

const maxReportAge = 24 * time.Hour // older reports are invalid

// DecodeReport returns the report that a document describes.
func DecodeReport(d ReportDocument) (Report, error) {
	if d.Instance == "" || d.AgeUS < 0 || d.AgeUS > maxReportAge.Microseconds() || d.Queued < 0 || d.Batch < 0 {
		return Report{}, fmt.Errorf("invalid report of instance %q: age %d us, queued %d, batch %d", d.Instance, d.AgeUS, d.Queued, d.Batch)
	}
	resident := make([]Model, 0, len(d.Resident))
	for _, m := range d.Resident {
		resident = append(resident, DecodeModel(m))
	}
	running := make(map[Model]int, len(d.Running))
	for _, r := range d.Running {
		if r.Count < 0 {
			return Report{}, fmt.Errorf("invalid report: %d running jobs of adapter %q", r.Count, r.Name)
		}
		running[DecodeModel(r.AdapterDocument)] = r.Count
	}
	age := time.Duration(d.AgeUS) * time.Microsecond
	return NewReport(d.Instance, age, resident, running, d.Queued, d.Batch, d.Prefixes), nil
}

var roleNames = [...]string{RoleBoth: "both", RolePrefill: "prefill", RoleDecode: "decode"}

// String returns the role's name on the wire.
func (r Role) String() string {
	if r < 0 || int(r) >= len(roleNames) {
		return fmt.Sprintf("role %d", int(r))
	}
	return roleNames[r]
}

// ParseRole returns the role of a name on the wire.
func ParseRole(name string) (Role, error) {
	for r, n := range roleNames {
		if n == name {
			return Role(r), nil
		}
	}
	return RoleBoth, fmt.Errorf("role %q is not one of %q", name, roleNames)
}
