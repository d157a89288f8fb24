package emulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// Document is the settings document of a set of fakes. Times are in
// milliseconds, shares are from 0 to 1. A setting that is left out or zero has
// its default.
type Document struct {
	Seed uint64 `json:"seed"`
	// Control is the address of the control interface.
	Control  string            `json:"control"`
	Platform PlatformDocument  `json:"platform"`
	Engines  []EngineDocument  `json:"engines"`
	Services []ServiceDocument `json:"services"`
}

// PlatformDocument sets up the table, the object store, the host list and the
// weight store. They share one address.
type PlatformDocument struct {
	Address             string  `json:"address"`
	LatencyMS           float64 `json:"latency_ms"`
	ReadsPerSecond      float64 `json:"reads_per_second"`
	WritesPerSecond     float64 `json:"writes_per_second"`
	HostListLagMS       float64 `json:"host_list_lag_ms"`
	StoreLoadsPerSecond float64 `json:"store_loads_per_second"`
	StoreLoadMS         float64 `json:"store_load_ms"`
	StoreLoadsInFlight  int     `json:"store_loads_in_flight"`
}

// EngineDocument sets up one engine.
type EngineDocument struct {
	Name              string  `json:"name"`
	Address           string  `json:"address"`
	Base              string  `json:"base"`
	Slots             int     `json:"slots"`
	Batch             int     `json:"batch"`
	LatencyMS         float64 `json:"latency_ms"`
	StepMS            float64 `json:"step_ms"`
	PrefillMS         float64 `json:"prefill_ms"`
	PrefillBlockMS    float64 `json:"prefill_block_ms"`
	CacheBlocks       int     `json:"cache_blocks"`
	CacheEventDelayMS float64 `json:"cache_event_delay_ms"`
	CacheEventGaps    float64 `json:"cache_event_gaps"`
	ReportLagMS       float64 `json:"report_lag_ms"`
	ModelLoadMS       float64 `json:"model_load_ms"`
	ChecksFencing     bool    `json:"checks_fencing"`
}

// ServiceDocument sets up one plain service.
type ServiceDocument struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	LatencyMS     float64 `json:"latency_ms"`
	DurationMS    float64 `json:"duration_ms"`
	ChecksFencing bool    `json:"checks_fencing"`
}

// SettingError reports a setting with an invalid value.
type SettingError struct {
	setting string
	value   string
	allowed string
}

// Setting returns the path of the setting in its document.
func (e *SettingError) Setting() string { return e.setting }

// Value returns the value in the document.
func (e *SettingError) Value() string { return e.value }

// Allowed describes the allowed values.
func (e *SettingError) Allowed() string { return e.allowed }

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %s, allowed is %s", e.setting, e.value, e.allowed)
}

// ParseDocument decodes and validates a settings document. Unknown settings are
// errors. Validation errors are joined.
func ParseDocument(text []byte) (*Document, error) {
	var doc Document
	if err := decodeStrictly(text, &doc); err != nil {
		return nil, err
	}
	if err := doc.Validate(); err != nil {
		return nil, err
	}
	return &doc, nil
}

func decodeStrictly(text []byte, doc any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(doc); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return &SettingError{setting: kind.Field, value: "a " + kind.Value, allowed: "a value of type " + kind.Type.String()}
		}
		return fmt.Errorf("decode settings: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode settings: text follows the document")
	}
	return nil
}

// Validate checks all settings and joins the errors.
func (d *Document) Validate() error {
	var c checker
	c.address("control", d.Control)
	d.Platform.check(&c)
	names := map[string]string{
		targetTable: "the table", targetObjects: "the object store", targetHosts: "the host list", targetWeights: "the weight store",
	}
	for i, e := range d.Engines {
		path := fmt.Sprintf("engines[%d]", i)
		c.name(path+".name", e.Name, names)
		e.check(&c, path)
	}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", s.Name, names)
		c.address(path+".address", s.Address)
		c.number(path+".latency_ms", s.LatencyMS, maxMS)
		c.number(path+".duration_ms", s.DurationMS, maxMS)
	}
	return errors.Join(c.errs...)
}

func (d PlatformDocument) check(c *checker) {
	c.address("platform.address", d.Address)
	c.number("platform.latency_ms", d.LatencyMS, maxMS)
	c.number("platform.reads_per_second", d.ReadsPerSecond, maxRate)
	c.number("platform.writes_per_second", d.WritesPerSecond, maxRate)
	c.number("platform.host_list_lag_ms", d.HostListLagMS, maxMS)
	c.number("platform.store_loads_per_second", d.StoreLoadsPerSecond, maxRate)
	c.number("platform.store_load_ms", d.StoreLoadMS, maxMS)
	c.number("platform.store_loads_in_flight", float64(d.StoreLoadsInFlight), maxCount)
}

func (d EngineDocument) check(c *checker, path string) {
	c.address(path+".address", d.Address)
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{
		{"slots", float64(d.Slots), maxCount},
		{"batch", float64(d.Batch), maxCount},
		{"cache_blocks", float64(d.CacheBlocks), maxCount},
		{"latency_ms", d.LatencyMS, maxMS},
		{"step_ms", d.StepMS, maxMS},
		{"prefill_ms", d.PrefillMS, maxMS},
		{"prefill_block_ms", d.PrefillBlockMS, maxMS},
		{"cache_event_delay_ms", d.CacheEventDelayMS, maxMS},
		{"cache_event_gaps", d.CacheEventGaps, 1},
		{"report_lag_ms", d.ReportLagMS, maxMS},
		{"model_load_ms", d.ModelLoadMS, maxMS},
	} {
		c.number(path+"."+f.name, f.value, f.most)
	}
}

// Largest values of settings.
const (
	maxMS    = 3_600_000 // one hour
	maxRate  = 1_000_000 // per second
	maxCount = 1_000_000
)

// checker collects the invalid settings of a document.
type checker struct {
	errs []error
}

func (c *checker) fail(setting, value, allowed string) {
	c.errs = append(c.errs, &SettingError{setting: setting, value: value, allowed: allowed})
}

func (c *checker) number(setting string, value, most float64) {
	if !(value >= 0 && value <= most) {
		c.fail(setting, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("0 to %g", most))
	}
}

func (c *checker) address(setting, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.fail(setting, strconv.Quote(value), "host:port, with port 0 for any free one")
	}
}

func (c *checker) name(setting, value string, taken map[string]string) {
	if value == "" {
		c.fail(setting, `""`, "a name")
		return
	}
	if owner, ok := taken[value]; ok {
		c.fail(setting, strconv.Quote(value), "a name other than that of "+owner)
		return
	}
	taken[value] = setting
}

// ms converts milliseconds to a duration.
func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// ifSet returns the option for a value, or one without effect if the document
// does not set the value.
func ifSet[T int | float64](value T, option func(T) Option) Option {
	if value == 0 {
		return func(*settings) {}
	}
	return option(value)
}

func fromMS(option func(time.Duration) Option) func(float64) Option {
	return func(v float64) Option { return option(ms(v)) }
}

func (d PlatformDocument) options(seed uint64) []Option {
	return []Option{
		WithSeed(seed),
		WithLatency(ms(d.LatencyMS)),
		WithRates(d.ReadsPerSecond, d.WritesPerSecond),
		WithLag(ms(d.HostListLagMS)),
		WithLoadRate(d.StoreLoadsPerSecond),
		ifSet(d.StoreLoadMS, func(v float64) Option { return func(s *settings) { s.loadTime = ms(v) } }),
		ifSet(d.StoreLoadsInFlight, func(n int) Option { return func(s *settings) { s.fullSpeed = n } }),
	}
}

func (d EngineDocument) options(seed uint64) []Option {
	opts := []Option{
		WithName(d.Name),
		WithSeed(seed),
		WithBase(d.Base),
		WithLatency(ms(d.LatencyMS)),
		WithLag(ms(d.ReportLagMS)),
		WithCacheEvents(ms(d.CacheEventDelayMS), d.CacheEventGaps),
		ifSet(d.Slots, WithSlots),
		ifSet(d.Batch, WithBatch),
		ifSet(d.CacheBlocks, WithCacheBlocks),
		ifSet(d.StepMS, fromMS(WithStepTime)),
		ifSet(d.ModelLoadMS, fromMS(WithModelLoadTime)),
		ifSet(d.PrefillMS, func(v float64) Option { return func(s *settings) { s.prefill = ms(v) } }),
		ifSet(d.PrefillBlockMS, func(v float64) Option { return func(s *settings) { s.prefillBlock = ms(v) } }),
	}
	if d.ChecksFencing {
		opts = append(opts, WithFencing())
	}
	return opts
}

func (d ServiceDocument) options(seed uint64) []Option {
	opts := []Option{WithSeed(seed), WithLatency(ms(d.LatencyMS)), WithDuration(ms(d.DurationMS))}
	if d.ChecksFencing {
		opts = append(opts, WithFencing())
	}
	return opts
}
