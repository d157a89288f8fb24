package logger

import (
	"fmt"
	"io"
	stdlog "log"
	"regexp"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// The keys that every line may have.
const (
	keyTime      = "ts"
	keyNode      = "node"
	keyComponent = "component"
	keyEvent     = "event"
	keyRequest   = "request_id"
	keyErr       = "err"
)

// maxErr bounds the text of an error, in bytes, because an endpoint may answer
// with a page of text.
const maxErr = 1024

// Logger writes the lines of one component. It is safe for concurrent use.
type Logger struct {
	out       log.Logger
	component string
	sampler   *sampler
	count     func(event string)
}

// New returns a logger for a node that drops lines below a level: "debug",
// "info", "warn" or "error".
func New(w io.Writer, node, lowest string) (*Logger, error) {
	allowed, err := level.Parse(lowest)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", lowest, err)
	}
	out := log.NewJSONLogger(log.NewSyncWriter(w))
	out = log.With(out, keyTime, log.TimestampFormat(utcNow, time.RFC3339Nano), keyNode, node)
	return &Logger{out: level.NewFilter(out, level.Allow(allowed)), sampler: newSampler(), count: ignore}, nil
}

func utcNow() time.Time { return time.Now().UTC() }

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{out: log.NewNopLogger(), sampler: newSampler(), count: ignore} }

func ignore(string) {}

// Component returns a logger for a part of the program.
func (l *Logger) Component(name string) *Logger {
	return &Logger{out: l.out, component: name, sampler: l.sampler, count: l.count}
}

// WithEventCounter returns a logger that also passes the event of each line to count, the
// lines that are left out included.
func (l *Logger) WithEventCounter(count func(event string)) *Logger {
	return &Logger{out: l.out, component: l.component, sampler: l.sampler, count: count}
}

// Field is an optional part of a line.
type Field struct {
	key   string
	value any
}

// Request names the request that a line is about.
func Request(id string) Field { return Field{key: keyRequest, value: id} }

// Key names a field of a decision. The set is fixed, so that a line holds nothing
// that a caller sent but the ids of its requests.
type Key string

// The fields of decisions. Times are in milliseconds.
const (
	KeyAge        Key = "age_ms"
	KeyAttempt    Key = "attempt"
	KeyCount      Key = "count"
	KeyDuration   Key = "duration_ms"
	KeyEndpoint   Key = "endpoint"
	KeyGap        Key = "gap_ms"
	KeyHeld       Key = "held"
	KeyLeft       Key = "left_ms"
	KeyLoad       Key = "load"
	KeyModel      Key = "model"
	KeyOutcome    Key = "outcome"
	KeyPeer       Key = "peer"
	KeyReason     Key = "reason"
	KeyRoute      Key = "route"
	KeySequence   Key = "sequence"
	KeyService    Key = "service"
	KeyStatus     Key = "status"
	KeyToken      Key = "token"
	KeyVersion    Key = "version"
	KeyWait       Key = "wait_ms"
	KeyDependency Key = "dependency"
)

// With adds a field of a decision. The value is a string, a number or a boolean.
func With(key Key, value any) Field { return Field{key: string(key), value: value} }

// Err adds an error. Credentials in its text are removed.
func Err(err error) Field {
	if err == nil {
		return Field{}
	}
	return Field{key: keyErr, value: redact(err.Error())}
}

// Debug writes a line for developers.
func (l *Logger) Debug(event string, fields ...Field) { l.write(level.Debug(l.out), event, fields) }

// Info writes a line about the normal course of things.
func (l *Logger) Info(event string, fields ...Field) { l.write(level.Info(l.out), event, fields) }

// Warn writes a line about something that the program handles.
func (l *Logger) Warn(event string, fields ...Field) { l.write(level.Warn(l.out), event, fields) }

// Error writes a line about something that needs an operator.
func (l *Logger) Error(event string, fields ...Field) { l.write(level.Error(l.out), event, fields) }

func (l *Logger) write(out log.Logger, event string, fields []Field) {
	l.count(event)
	keep, dropped := l.sampler.admit(l.component, event, time.Now())
	if dropped > 0 {
		_ = log.With(out, keyComponent, l.component).
			Log(keyEvent, "lines-dropped", keyErr, fmt.Sprintf("%d lines of event %s", dropped, event))
	}
	if !keep {
		return
	}
	pairs := []any{keyComponent, l.component, keyEvent, event}
	for _, f := range fields {
		if f.key != "" {
			pairs = append(pairs, f.key, f.value)
		}
	}
	// A log line that cannot be written has nowhere to be reported.
	_ = out.Log(pairs...)
}

// secrets matches what follows the words that introduce a credential.
var secrets = regexp.MustCompile(`(?i)\b(authorization:?\s+(?:bearer|basic)|bearer|basic|authorization:?|password[=:]|secret[=:]|token[=:]|key[=:])\s*("[^"]*"|\S+)`)

func redact(text string) string {
	text = secrets.ReplaceAllString(text, "$1 [removed]")
	if len(text) > maxErr {
		text = strings.ToValidUTF8(text[:maxErr], "") + "..."
	}
	return text
}

// StdLogger returns a logger of the standard library that writes its lines as
// warnings of one event.
func (l *Logger) StdLogger(event string) *stdlog.Logger {
	return stdlog.New(standardWriter{logger: l, event: event}, "", 0)
}

type standardWriter struct {
	logger *Logger
	event  string
}

func (w standardWriter) Write(line []byte) (int, error) {
	w.logger.Warn(w.event, Field{key: keyErr, value: redact(strings.TrimSpace(string(line)))})
	return len(line), nil
}
