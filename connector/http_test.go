package connector_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
)

var reading = connector.NewModel("base", "reading", "v1")

// newResponseServer returns the address of a server that sends the same
// response to every request. The response may be changed between requests.
func newResponseServer(t testing.TB, status int) (address string, response *atomic.Pointer[[]byte]) {
	response = new(atomic.Pointer[[]byte])
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = w.Write(*response.Load())
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), response
}

const event = `data: {"attempt":"a","model":"reading@v1","base":"base","index":0,"choices":[{"text":"x"}]}` + "\n\n"

// Guards against a truncated response that is reported as complete.
func TestStreamEnd(t *testing.T) {
	cases := []struct {
		name   string
		body   string
		chunks int
		want   error
	}{
		{"complete", event + "data: [DONE]\n\n", 1, io.EOF},
		{"comments and other fields", ": ping\r\nid: 1\r\n" + event + "data:[DONE]\n", 1, io.EOF},
		{"cut between events", event, 1, connector.ErrBroken},
		{"cut inside an event", event + event[:20], 1, connector.ErrBroken},
		{"empty", "", 0, connector.ErrBroken},
		{"not JSON", "data: x\n", 0, connector.ErrBroken},
		{"no version", strings.ReplaceAll(event, "@v1", ""), 0, connector.ErrBroken},
		{"no choice", strings.ReplaceAll(event, `{"text":"x"}`, ""), 0, connector.ErrBroken},
		{"long event", strings.ReplaceAll(event, "x", strings.Repeat("x", 5000)) + "data: [DONE]\n", 1, io.EOF},
		{"too long event", "data: " + strings.Repeat("x", 1<<20), 0, connector.ErrBroken},
	}
	address, response := newResponseServer(t, http.StatusOK)
	e := connector.NewHTTPEngine(address)
	t.Cleanup(e.Close)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := []byte(c.body)
			response.Store(&body)
			s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 2))
			is.NoErr(err)
			chunks := 0
			for err == nil {
				if _, err = s.Next(t.Context()); err == nil {
					chunks++
				}
			}
			is.Equal(chunks, c.chunks)
			is.True(errors.Is(err, c.want))
			is.Equal(errors.Is(err, connector.ErrBroken), errors.Is(c.want, connector.ErrBroken))
			_, again := s.Next(t.Context())
			is.Equal(again, err) // later calls return the same error
			is.NoErr(s.Close())
		})
	}
}

// Guards against taking an unknown code or the error page of another server as
// proof of what the engine did.
func TestErrorCodes(t *testing.T) {
	cases := []struct {
		body string
		want error
	}{
		{`{"code":"refused"}`, connector.ErrRefused},
		{`{"code":"malformed"}`, connector.ErrRefused},
		{`{"code":"fenced"}`, connector.ErrFenced},
		{`{"code":"not_resident"}`, connector.ErrNotResident},
		{`{"code":"load_failed"}`, connector.ErrLoadFailed},
		{`{"code":"other"}`, connector.ErrBroken},
		{`<html>`, connector.ErrBroken},
	}
	address, response := newResponseServer(t, http.StatusBadGateway)
	e := connector.NewHTTPEngine(address)
	t.Cleanup(e.Close)
	for _, c := range cases {
		t.Run(c.body, func(t *testing.T) {
			body := []byte(c.body)
			response.Store(&body)
			f := connector.NewFence(1, time.Now().Add(time.Minute))
			is.New(t).True(errors.Is(e.Order(t.Context(), connector.NewLoadAdapter(f, reading)), c.want))
		})
	}
}

// Guards against taking a status of the operation itself for a refusal: the
// operation ran, whatever its status.
func TestServiceStatus(t *testing.T) {
	for _, status := range []int{200, 302, 404, 409, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			address, response := newResponseServer(t, status)
			body := []byte(`{"code":"refused"}`)
			response.Store(&body)
			s := connector.NewHTTPService(address)
			t.Cleanup(s.Close)
			r, err := s.Call(t.Context(), connector.NewOperation("a", "1", http.MethodPost, "/postings", nil))
			is.NoErr(err)
			is.Equal(r.Status(), status)
			is.Equal(string(r.Body()), string(body))
		})
	}
}

// Guards against closing the connection after each complete response.
func TestStreamKeepsConnection(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	last := strings.ReplaceAll(event, `"text":"x"`, `"text":"x","finish_reason":"length"`)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, last+"data: [DONE]\n\n")
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	e := connector.NewHTTPEngine(srv.Listener.Addr().String())
	t.Cleanup(e.Close)
	for range 5 {
		s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1))
		is.NoErr(err)
		c, err := s.Next(t.Context())
		is.NoErr(err)
		is.True(c.Last())
		is.NoErr(s.Close()) // without reading the end event
	}
	is.Equal(connections.Load(), int64(1))
}

// Guards against a response of an engine that makes the client panic, hang or
// return an error other than io.EOF or ErrBroken.
func FuzzStream(f *testing.F) {
	f.Add([]byte(event + "data: [DONE]\n\n"))
	f.Add([]byte("data: {}\n"))
	f.Add([]byte(": x\ndata:[DONE]"))
	address, response := newResponseServer(f, http.StatusOK)
	e := connector.NewHTTPEngine(address)
	f.Cleanup(e.Close)
	f.Fuzz(func(t *testing.T, body []byte) {
		response.Store(&body)
		s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 2))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		for {
			c, err := s.Next(t.Context())
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, connector.ErrBroken) {
					t.Fatal(err)
				}
				return
			}
			doc := connector.EncodeChunk(c)
			again, err := connector.DecodeChunk(&doc)
			if err != nil || again != c {
				t.Fatalf("%+v became %+v: %v", c, again, err)
			}
		}
	})
}

// Guards against accepting a report with invalid values.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"instance":"e#1","age_us":5,"resident":[{"base":"b","lora_name":"a","version":"v"}],"running":[{"lora_name":"a","count":2}],"queued":1,"batch":8,"prefixes":[1]}`))
	f.Add([]byte(`{"instance":"e#1","queued":-1}`))
	address, response := newResponseServer(f, http.StatusOK)
	e := connector.NewHTTPEngine(address)
	f.Cleanup(e.Close)
	f.Fuzz(func(t *testing.T, body []byte) {
		response.Store(&body)
		r, err := e.Report(t.Context())
		if err != nil {
			if !errors.Is(err, connector.ErrBroken) {
				t.Fatal(err)
			}
			return
		}
		if r.Instance() == "" || r.Age() < 0 || r.Queued() < 0 || r.Batch() < 0 || r.TotalRunning() < 0 {
			t.Fatalf("accepted report %+v", r)
		}
	})
}
