package server_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/server"
)

func hash(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

const streamRequest = `{"model":"reading@v1","prompt":"p","max_tokens":6,"stream":true,"stream_options":{"include_usage":true}}`

// sseEvent is a server-sent event as a caller parses it.
type sseEvent struct{ id, name, data string }

func parseEvents(body string) []sseEvent {
	var events []sseEvent
	for block := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var e sseEvent
		for line := range strings.SplitSeq(block, "\n") {
			switch field, value, _ := strings.Cut(line, ": "); field {
			case "id":
				e.id = value
			case "event":
				e.name = value
			case "data":
				e.data = value
			}
		}
		events = append(events, e)
	}
	return events
}

// Guards against a resumed answer that repeats, skips or changes a token, for
// any token at which the connection may break.
func TestResume(t *testing.T) {
	is := is.New(t)
	srv := newTestServer(t, &fakePipeline{})
	resp, body := send(t, "POST", srv.URL+"/v1/completions", streamRequest, "X-Request-Id: r")
	is.Equal(resp.Header.Get("Content-Type"), "text/event-stream")
	is.Equal(resp.Header.Get("X-Outcome"), "done")
	is.Equal(resp.Header.Get("X-Bundle-Epoch"), "7")
	all := parseEvents(body)
	is.Equal(len(all), 8) // 6 tokens, usage, end
	is.True(strings.Contains(all[6].data, `"choices":[],"usage":{"prompt_tokens":0,"completion_tokens":6`))
	is.Equal(all[7].data, "[DONE]")
	for last := range 6 {
		is.Equal(all[last].id, strconv.Itoa(last))
		var doc struct{ Choices []struct{ Text string } }
		is.NoErr(json.Unmarshal([]byte(all[last].data), &doc))
		is.Equal(doc.Choices[0].Text, fmt.Sprintf("r-%d ", last))

		_, rest := send(t, "POST", srv.URL+"/v1/completions", streamRequest, "X-Request-Id: r", fmt.Sprint("Last-Event-ID: ", last))
		for i, e := range parseEvents(rest) {
			is.Equal(e.id, all[last+1+i].id)
		}
		is.Equal(len(parseEvents(rest)), len(all)-last-1)
	}
}

// Guards against a resumed answer whose remaining tokens come from another
// version, because the traffic shares of the bundle changed in between.
func TestResumePinsVersion(t *testing.T) {
	is := is.New(t)
	p := &fakePipeline{}
	srv := newTestServer(t, p)
	body := strings.Replace(streamRequest, "@v1", "", 1)
	resp, answer := send(t, "POST", srv.URL+"/v1/completions", body, "X-Request-Id: r", "Last-Event-ID: 1")
	is.Equal(resp.StatusCode, 400)
	is.True(strings.Contains(answer, "X-Version of the first answer"))
	send(t, "POST", srv.URL+"/v1/completions", body, "X-Request-Id: r", "Last-Event-ID: 1", "X-Version: v2")
	is.Equal(p.request.Load().Target().(*receiver.GenerationTarget).Version(), "v2")
}

// Guards against an incomplete answer that looks complete.
func TestBrokenStream(t *testing.T) {
	is := is.New(t)
	srv := newTestServer(t, &fakePipeline{breaksAt: 2})
	_, body := send(t, "POST", srv.URL+"/v1/chat/completions",
		`{"model":"reading@v1","messages":[{"role":"user","content":"c"}],"stream":true}`, "X-Request-Id: r")
	events := parseEvents(body)
	is.Equal(len(events), 3)
	is.True(strings.Contains(events[0].data, `"delta":{"role":"assistant","content":"r-0 "}`))
	is.True(strings.Contains(events[1].data, `"delta":{"content":"r-1 "}`))
	is.Equal(events[2].name, "error")
	is.True(strings.Contains(events[2].data, `"type":"urn:dragonflyford:problem:uncertain"`))
	is.True(strings.Contains(events[2].data, `"outcome":"unknown"`))

	resp, body := send(t, "POST", srv.URL+"/v1/completions", `{"model":"reading@v1","prompt":"p"}`)
	is.Equal(resp.StatusCode, 502)
	is.True(!strings.Contains(body, "r-0"))
}

// Guards against an engine that continues to generate for a caller that has
// disconnected.
func TestDisconnect(t *testing.T) {
	is := is.New(t)
	p := &fakePipeline{pause: 5 * time.Millisecond}
	srv := newTestServer(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", srv.URL+"/v1/completions",
		strings.NewReader(`{"model":"reading@v1","prompt":"p","max_tokens":100,"stream":true}`))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	cancel()
	_ = resp.Body.Close()
	for end := time.Now().Add(10 * time.Second); p.closed.Load() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the stream is closed
	}
}

// Guards against write and read timeouts that interrupt a stream longer than the
// timeout, and against a caller that never sends its body.
func TestTimeouts(t *testing.T) {
	is := is.New(t)
	srv := newTestServer(t, &fakePipeline{pause: 100 * time.Millisecond},
		server.WithWriteTimeout(300*time.Millisecond), server.WithReadTimeout(200*time.Millisecond))
	_, body := send(t, "POST", srv.URL+"/v1/completions", streamRequest)
	is.Equal(parseEvents(body)[7].data, "[DONE]")

	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, 504)
	is.Equal(resp.Header.Get("X-Outcome"), "not-run")
}

// Guards against a planned stop that interrupts an answer or never stops
// accepting calls.
func TestServe(t *testing.T) {
	is := is.New(t)
	p := &fakePipeline{pause: 100 * time.Millisecond}
	s := server.New(p, server.WithDrainGrace(100*time.Millisecond))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	url := "http://" + l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l, s.Handler()) }()
	answered := make(chan string, 1)
	go func() {
		_, body := send(t, "POST", url+"/v1/completions", streamRequest)
		answered <- body
	}()
	for p.request.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	stop()
	for !s.Draining() {
		time.Sleep(time.Millisecond)
	}
	resp, _ := send(t, "GET", url+"/readyz", "")
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Close) // the answer has Connection: close
	is.Equal(parseEvents(<-answered)[7].data, "[DONE]")
	is.NoErr(<-served)
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}

type fakeStatus struct{}

func (fakeStatus) Status() server.StatusDocument {
	return server.StatusDocument{Node: "node-1", Epoch: 7}
}

type fakeDrainer struct{ drained bool }

func (d *fakeDrainer) Drain(context.Context) error {
	d.drained = true
	return nil
}

// Guards against operator routes that are open to callers, and against
// decisions that are recorded but not returned to the operator.
func TestOperators(t *testing.T) {
	is := is.New(t)
	d := &fakeDrainer{}
	s := server.New(&fakePipeline{}, server.WithOperatorKeys(server.Keys{}.Add("op", hash("k1"))),
		server.WithStatus(fakeStatus{}), server.WithDrainer(d), server.WithRecorder(recorder.New(100)))
	callers, operators := httptest.NewServer(s.Handler()), httptest.NewServer(s.OperatorHandler())
	defer callers.Close()
	defer operators.Close()
	send(t, "GET", callers.URL+"/v1/services/ledger/a", "", "X-Request-Id: a/b")

	const key = "Authorization: Bearer k1"
	tests := []struct {
		method, path, header string
		status               int
		want                 string
	}{
		{"GET", "/operator/status", key, 200, `"node":"node-1"`},
		{"GET", "/operator/explain/a%2Fb", key, 200, `"stage":"placer","decision":"engine-1","reason":"resident"`},
		{"GET", "/operator/explain/c", key, 404, "no decision"},
		{"GET", "/operator/status", "Authorization: Bearer k2", 401, "operator key"},
		{"GET", "/operator/explain/a%2Fb", "", 401, "operator key"},
		{"POST", "/operator/drain", "Authorization: Basic k1", 401, "operator key"},
		{"GET", "/operator/drain", key, 405, "method"},
		{"GET", "/v1/services/ledger/a", key, 404, "no route"},
	}
	for _, tt := range tests {
		resp, body := send(t, tt.method, operators.URL+tt.path, "", tt.header)
		is.Equal(resp.StatusCode, tt.status)
		is.True(strings.Contains(body, tt.want)) // body
	}
	is.True(!d.drained)
	send(t, "POST", operators.URL+"/operator/drain", "", key)
	is.True(d.drained)
}

// BenchmarkStream measures the cost of one token from the pipeline to the
// connection.
func BenchmarkStream(b *testing.B) {
	h := server.New(&fakePipeline{}).Handler()
	const tokens = 256
	body := fmt.Sprintf(`{"model":"reading@v1","prompt":"p","max_tokens":%d,"stream":true}`, tokens)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("POST", "/v1/completions", strings.NewReader(body)))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
