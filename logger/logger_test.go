package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/logger"
)

func newLogger(t *testing.T, lowest string) (*logger.Logger, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	l, err := logger.New(&out, "node-1", lowest)
	if err != nil {
		t.Fatal(err)
	}
	return l, &out
}

// Guards against keys outside the fixed set and credentials in a line.
func TestLine(t *testing.T) {
	is := is.New(t)
	l, out := newLogger(t, "info")
	l.Component("server").Debug("hidden")
	l.Component("server").Warn("request-failed", logger.Request("r-1"),
		logger.Err(errors.New("Authorization: Bearer s3cret, key=s3cret password: s3cret")), logger.Err(nil))
	var line map[string]string
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	_, err := time.Parse(time.RFC3339Nano, line["ts"])
	is.NoErr(err)
	is.True(!strings.Contains(out.String(), "s3cret"))
	delete(line, "ts")
	delete(line, "err")
	is.Equal(line, map[string]string{
		"level": "warn", "node": "node-1", "component": "server", "event": "request-failed", "request_id": "r-1",
	})
}

// Guards against a caller's key in a line because an error or the HTTP server prints a
// header.
func TestKeysInErrors(t *testing.T) {
	header := http.Header{"Authorization": {"Token s3cret"}}
	for _, text := range []string{
		"Authorization: Token s3cret", "authorization: token s3cret", fmt.Sprint(header), fmt.Sprintf("%#v", header), fmt.Sprintf("%q", header),
		`{"Authorization": "Token s3cret"}`,
	} {
		is := is.New(t)
		l, out := newLogger(t, "info")
		l.Warn("failed", logger.Err(errors.New(text)))
		l.StdLogger("http-server").Print(text)
		is.True(!strings.Contains(out.String(), "s3cret"))
		is.Equal(strings.Count(out.String(), "[removed]"), 2)
	}
}

// Guards against a frequent event that fills the log and hides other events, and
// against unbounded memory for distinct events.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, out := newLogger(t, "debug")
		for range 1000 {
			l.Info("flood")
		}
		l.Info("other")
		is.Equal(strings.Count(out.String(), "flood"), 20)
		is.Equal(strings.Count(out.String(), "other"), 1)
		time.Sleep(time.Second)
		l.Info("flood")
		is.True(strings.Contains(out.String(), "980 lines of event flood"))
		for i := range 5000 {
			l.Info(fmt.Sprint("made-", i))
		}
		is.True(strings.Count(out.String(), "made-") < 1024)
	})
}

// Guards against a misspelt level that is silently taken for a valid one.
func TestUnknownLevel(t *testing.T) {
	is := is.New(t)
	_, err := logger.New(&bytes.Buffer{}, "n", "verbose")
	is.True(err != nil)
}
