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

// Keys that any line may have.
const (
	keyTime      = "ts"
	keyNode      = "node"
	keyComponent = "component"
	keyEvent     = "event"
	keyRequest   = "request_id"
	keyErr       = "err"
)

// maxErrBytes bounds the text of an error, because an endpoint may respond with a
// whole page of text.
const maxErrBytes = 1024

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

// Component returns a logger for a component of the program.
func (l *Logger) Component(name string) *Logger {
	return &Logger{out: l.out, component: name, sampler: l.sampler, count: l.count}
}

// WithEventCounter returns a logger that also calls count with the event of each
// line, including lines that are dropped by the sampler or below the lowest
// level.
func (l *Logger) WithEventCounter(count func(event string)) *Logger {
	return &Logger{out: l.out, component: l.component, sampler: l.sampler, count: count}
}

// Field is an optional key-value pair of a line.
type Field struct {
	key   string
	value any
}

// Request returns a field with the id of the request that a line is about.
func Request(id string) Field { return Field{key: keyRequest, value: id} }

// Key is the key of a field that describes a decision. The set is fixed, so that
// a line contains nothing that a caller sent except the ids of its requests.
type Key string

// Keys of fields that describe decisions. Durations and ages are in milliseconds.
const (
	KeyAge        Key = "age_ms"
	KeyAttempt    Key = "attempt"
	KeyCalls      Key = "calls"
	KeyCount      Key = "count"
	KeyDuration   Key = "duration_ms"
	KeyEndpoint   Key = "endpoint"
	KeyGap        Key = "gap_ms"
	KeyHeld       Key = "held"
	KeyLeft       Key = "left_ms"
	KeyLimit      Key = "requests_per_s"
	KeyLoad       Key = "load"
	KeyModel      Key = "model"
	KeyOutcome    Key = "outcome"
	KeyPace       Key = "pace"
	KeyParts      Key = "prompt_parts"
	KeyPeer       Key = "peer"
	KeyRate       Key = "tokens_per_s"
	KeyRateBefore Key = "tokens_per_s_before"
	KeyReason     Key = "reason"
	KeyRoute      Key = "route"
	KeySequence   Key = "sequence"
	KeyService    Key = "service"
	KeySoftware   Key = "software"
	KeyStatus     Key = "status"
	KeyToken      Key = "token"
	KeyVersion    Key = "version"
	KeyEra        Key = "era"
	KeyWait       Key = "wait_ms"
	KeyWorkspace  Key = "workspace"
	KeyDependency Key = "dependency"
)

// With returns a field that describes a decision. The value must be a string, a
// number or a boolean.
func With(key Key, value any) Field { return Field{key: string(key), value: value} }

// Err returns a field with the text of an error, from which credentials are
// removed. For a nil error the field is omitted from the line.
func Err(err error) Field {
	if err == nil {
		return Field{}
	}
	return Field{key: keyErr, value: redact(err.Error())}
}

// Debug logs an event that helps developers.
func (l *Logger) Debug(event string, fields ...Field) { l.write(level.Debug(l.out), event, fields) }

// Info logs an event of normal operation.
func (l *Logger) Info(event string, fields ...Field) { l.write(level.Info(l.out), event, fields) }

// Warn logs a problem that the program handles.
func (l *Logger) Warn(event string, fields ...Field) { l.write(level.Warn(l.out), event, fields) }

// Error logs a problem that an operator must handle.
func (l *Logger) Error(event string, fields ...Field) { l.write(level.Error(l.out), event, fields) }

func (l *Logger) write(out log.Logger, event string, fields []Field) {
	l.count(event)
	keep, dropped := l.sampler.allow(l.component, event, time.Now())
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
	// There is nowhere to report a failure to write to the log.
	_ = out.Log(pairs...)
}

// secrets matches a keyword that introduces a credential, such as "bearer" or
// "password=", and the word or quoted string after it. The scheme of an authorization
// may follow in brackets and quotes, as in a printed header.
var secrets = regexp.MustCompile(`(?i)\b(authorization[":\s\[]*(?:\]string\{")?(?:bearer|basic|token)\b|bearer|basic|authorization:?|password[=:]|secret[=:]|token[=:]|key[=:])\s*("[^"]*"|\S+)`)

func redact(text string) string {
	text = secrets.ReplaceAllString(text, "$1 [removed]")
	if len(text) > maxErrBytes {
		text = strings.ToValidUTF8(text[:maxErrBytes], "") + "..."
	}
	return text
}

// StdLogger returns a logger of the standard library's log package whose lines
// are logged as warnings with the given event.
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
