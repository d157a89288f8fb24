package server_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/server"
)

// Guards against answering a fault with the wrong status, type or outcome, or
// without the headers that every answer carries.
func TestFaults(t *testing.T) {
	retry := classifier.RetryAfter(1200 * time.Millisecond)
	tests := []struct {
		err     error
		status  int
		kind    string
		outcome string
		retry   string
	}{
		{classifier.NewInvalid("d"), 400, "invalid", "not-run", ""},
		{classifier.NewTooLarge("d"), 413, "too-large", "not-run", ""},
		{classifier.NewUnauthorized("d"), 401, "unauthorized", "not-run", ""},
		{classifier.NewNotOffered("d"), 404, "not-offered", "not-run", ""},
		{classifier.NewKeyMissing("d"), 400, "key-missing", "not-run", ""},
		{classifier.NewKeyReused("d"), 422, "key-reused", "not-run", ""},
		{classifier.NewInProgress("d"), 409, "in-progress", "unknown", ""},
		{classifier.NewOverloaded("d", retry), 429, "overloaded", "not-run", "2"},
		{classifier.NewUnavailable("d", retry), 503, "unavailable", "not-run", "2"},
		{classifier.NewUnavailable("d", classifier.MayHaveRun()), 503, "unavailable", "unknown", ""},
		{classifier.NewWithheld("d", retry), 503, "withheld", "not-run", "2"},
		{classifier.NewExpired("d"), 504, "expired", "not-run", ""},
		{classifier.NewCanceled("d"), 499, "canceled", "not-run", ""},
		{classifier.NewStopped("d"), 422, "stopped", "not-run", ""},
		{classifier.NewUncertain("d"), 502, "uncertain", "unknown", ""},
		{connector.ErrBroken, 502, "uncertain", "unknown", ""},
		{errors.New("secret detail"), 502, "uncertain", "unknown", ""},
	}
	for _, tt := range tests {
		t.Run(tt.kind, func(t *testing.T) {
			is := is.New(t)
			srv := newTestServer(t, &fakePipeline{fault: tt.err})
			resp, body := send(t, "POST", srv.URL+"/v1/completions", `{"model":"reading@v1","prompt":"p"}`, "X-Request-Id: r-1")
			var p struct {
				Type, Outcome, Detail string
				Status                int
				RequestID             string `json:"request_id"`
			}
			is.NoErr(json.Unmarshal([]byte(body), &p))
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(p.Status, tt.status)
			is.Equal(p.Type, "urn:dragonflyford:problem:"+tt.kind)
			is.Equal(p.Outcome, tt.outcome)
			is.Equal(p.RequestID, "r-1")
			is.True(!strings.Contains(body, "secret"))
			is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
			is.Equal(resp.Header.Get("Retry-After"), tt.retry)
			is.Equal(resp.Header.Get("X-Outcome"), tt.outcome)
			is.Equal(resp.Header.Get("X-Request-Id"), "r-1")
			is.Equal(resp.Header.Get("X-Adapter"), "reading")
			is.Equal(resp.Header.Get("X-Version"), "v1")
			is.Equal(resp.Header.Get("X-Bundle-Epoch"), "7")
		})
	}
}

// Guards against routing a call to the wrong target, and against an answer
// without an outcome and a request id.
func TestRoutes(t *testing.T) {
	const (
		text  = "/v1/completions"
		chat  = "/v1/chat/completions"
		valid = `"model":"reading@v1","prompt":"p","max_tokens":2`
		turns = `"model":"reading@v1","max_tokens":2,"messages":[{"role":"user","content":"hello"}]`
	)
	srv := newTestServer(t, &fakePipeline{}, server.WithMaxBody(300), server.WithMaxHeader(600),
		server.WithCallerKeys(server.Keys{}.Add("clerk", hash("k1")).Add("other", hash("k2"))))
	tests := []struct {
		name, method, path, body, header string
		status                           int
		want                             string
	}{
		{"completion", "POST", text, `{` + valid + `}`, "X-Request-Id: r", 200, `"text":"r-0 r-1 ","finish_reason":"length"`},
		{"usage", "POST", text, `{` + valid + `}`, "", 200, `"completion_tokens":2,"total_tokens":2`},
		{"version", "POST", text, `{` + valid + `}`, "", 200, `"model":"reading@v1"`},
		{"chat", "POST", chat, `{` + turns + `}`, "X-Request-Id: r", 200, `"message":{"role":"assistant","content":"r-0 r-1 "}`},
		{"chat in parts", "POST", chat, `{"model":"reading@v1","max_tokens":1,"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`, "", 200, "-0 "},
		{"chat with image", "POST", chat, `{"model":"reading@v1","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", 400, "only text"},
		{"newer limit", "POST", chat, `{` + turns + `,"max_completion_tokens":1}`, "X-Request-Id: r", 200, `"content":"r-0 "`},
		{"chat without messages", "POST", chat, `{"model":"reading@v1"}`, "", 400, "chat has no messages"},
		{"prompt in a list", "POST", text, `{"model":"reading@v1","prompt":["p"],"max_tokens":1}`, "", 200, "-0 "},
		{"two prompts", "POST", text, `{"model":"reading@v1","prompt":["p","q"]}`, "", 400, "list of one string"},
		{"neutral fields", "POST", text, `{` + valid + `,"n":1,"temperature":1.0,"stop":[],"seed":null,"logprobs":null,"unheard":1}`, "", 200, "length"},
		{"n", "POST", text, `{` + valid + `,"n":2}`, "", 400, "n is not supported; it may be left out or 1"},
		{"temperature", "POST", text, `{` + valid + `,"temperature":0}`, "", 400, "temperature is not supported"},
		{"stop", "POST", text, `{` + valid + `,"stop":["x"]}`, "", 400, "stop is not supported"},
		{"seed", "POST", text, `{` + valid + `,"seed":1}`, "", 400, "seed is not supported"},
		{"format", "POST", chat, `{` + turns + `,"response_format":{"type":"json_object"}}`, "", 400, "response_format"},
		{"format text", "POST", chat, `{` + turns + `,"response_format": {"type": "text"}}`, "", 200, "length"},
		{"wrong type", "POST", text, `{"model":1}`, "", 400, `field \"model\" holds a number`},
		{"not JSON", "POST", text, `{"model"`, "", 400, "unexpected end"},
		{"trailing data", "POST", text, `{` + valid + `}{}`, "", 400, "invalid character"},
		{"large body", "POST", text, `{"prompt":"` + strings.Repeat("x", 300) + `"}`, "", 413, "300 bytes"},
		{"large header", "POST", text, `{` + valid + `}`, "X-Large: " + strings.Repeat("x", 600), 413, "headers have"},
		{"bad id", "POST", text, `{` + valid + `}`, "X-Request-Id: a b", 400, "visible ASCII"},
		{"bad timeout", "POST", text, `{` + valid + `}`, "X-Timeout-Ms: soon", 400, "X-Timeout-Ms"},
		{"long timeout", "POST", text, `{` + valid + `}`, "X-Timeout-Ms: 3600001", 400, "up to 1h"},
		{"bad priority", "POST", text, `{` + valid + `}`, "X-Priority: high", 400, "0 to 9"},
		{"high priority", "POST", text, `{` + valid + `,"priority":10}`, "", 400, "0 to 9"},
		{"resume without stream", "POST", text, `{` + valid + `}`, "Last-Event-ID: 0", 400, "streams only"},
		{"resume without id", "POST", text, `{` + valid + `,"stream":true}`, "Last-Event-ID: 0", 400, "needs the X-Request-Id"},
		{"bad event id", "POST", text, `{` + valid + `,"stream":true}`, "Last-Event-ID: -1", 400, "id of an event"},
		{"resume without version", "POST", text, `{"model":"reading","prompt":"p","stream":true}`, "Last-Event-ID: 0", 400, "X-Request-Id"},
		{"no key", "POST", text, `{` + valid + `}`, "Authorization: Bearer k3", 401, "no valid key"},
		{"service", "POST", "/v1/services/ledger/postings/a%2Fb?x=1", "b", "Idempotency-Key: k", 200, "ledger POST /postings/a%2Fb?x=1 b k 1"},
		{"other method", "PATCH", "/v1/services/ledger/a//b", "", "", 200, "ledger PATCH /a//b   1"},
		{"third attempt", "PUT", "/v1/services/ledger/a", "", "Idempotency-Attempt: 3", 200, "ledger PUT /a   3"},
		{"bad attempt", "PUT", "/v1/services/ledger/a", "", "Idempotency-Attempt: x", 400, "counts from 1"},
		{"attempt 0", "PUT", "/v1/services/ledger/a", "", "Idempotency-Attempt: 0", 400, "counts from 1"},
		{"dot segments", "GET", "/v1/services/ledger/a/%2e%2e/b", "", "", 400, "dot segments"},
		{"wrong method", "GET", text, "", "", 405, "method-not-allowed"},
		{"unknown route", "GET", "/v2", "", "", 404, "not-offered"},
		{"operator route", "GET", "/operator/status", "", "", 404, "not-offered"},
		{"no entries", "GET", "/v1/entries", "", "", 503, "unavailable"},
		{"health", "GET", "/healthz", "", "", 200, "ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := send(t, tt.method, srv.URL+tt.path, tt.body, "Authorization: Bearer k2", tt.header)
			is.Equal(resp.StatusCode, tt.status)
			is.True(strings.Contains(body, tt.want)) // body
			is.True(resp.Header.Get("X-Request-Id") != "")
			is.True(resp.Header.Get("X-Outcome") != "")
			is.Equal(resp.Header.Get("X-Outcome") == "done", tt.status == 200)
		})
	}
}

// Guards against a limit on open requests that is not enforced or not released.
func TestConcurrency(t *testing.T) {
	is := is.New(t)
	p := &fakePipeline{pause: 100 * time.Millisecond}
	srv := newTestServer(t, p, server.WithMaxOpenRequests(1))
	ended := make(chan int)
	go func() {
		resp, _ := send(t, "POST", srv.URL+"/v1/completions", `{"model":"reading@v1","prompt":"p","max_tokens":3}`)
		ended <- resp.StatusCode
	}()
	for p.request.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	resp, _ := send(t, "GET", srv.URL+"/v1/services/ledger/a", "")
	is.Equal(resp.StatusCode, 429)
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.Equal(<-ended, 200)
	resp, _ = send(t, "GET", srv.URL+"/v1/services/ledger/a", "")
	is.Equal(resp.StatusCode, 200)
}

// Guards against open requests whose bodies together take more memory than the limit, and
// against memory that is not returned.
func TestBodyMemory(t *testing.T) {
	is := is.New(t)
	srv := newTestServer(t, &fakePipeline{}, server.WithBodyMemory(400_000), server.WithMaxBody(300_000))
	reader, writer := io.Pipe()
	held := make(chan int)
	go func() {
		resp, err := http.Post(srv.URL+"/v1/services/ledger/a", "text/plain", reader)
		if err != nil {
			held <- 0
			return
		}
		_ = resp.Body.Close()
		held <- resp.StatusCode
	}()
	_, err := io.WriteString(writer, strings.Repeat("x", 100_000))
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond) // until the server has read it
	resp, _ := send(t, "POST", srv.URL+"/v1/services/ledger/a", strings.Repeat("y", 100_000))
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	resp, _ = send(t, "POST", srv.URL+"/v1/services/ledger/a", strings.Repeat("y", 20_000)) // of the reserved part
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(writer.Close())
	is.Equal(<-held, http.StatusOK)
	for range 100 { // the memory is returned after the answer has been sent
		if resp, _ = send(t, "POST", srv.URL+"/v1/services/ledger/a", strings.Repeat("y", 100_000)); resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against a request that runs past its timeout, and against fields that
// do not reach the pipeline.
func TestRequestFields(t *testing.T) {
	is := is.New(t)
	p := &fakePipeline{pause: time.Minute}
	srv := newTestServer(t, p)
	resp, body := send(t, "POST", srv.URL+"/v1/completions", `{"model":"reading@v1","prompt":"p","priority":1}`,
		"X-Timeout-Ms: 50", "X-Priority: 5", "Authorization: Bearer s3cret")
	is.Equal(resp.StatusCode, 504)
	is.True(strings.Contains(body, `"outcome":"unknown"`))
	r := p.request.Load()
	is.Equal(r.Priority(), 5)
	is.Equal(r.Deadline().Sub(r.ReceivedAt()), 50*time.Millisecond)
	is.True(strings.HasPrefix(r.Caller(), "key-") && !strings.Contains(r.Caller(), "s3cret"))
	is.Equal(p.closed.Load(), int64(1))
}

type fakeEntries struct{ list *server.EntryList }

func (e fakeEntries) Load() *server.EntryList { return e.list }

type fakeOwners struct{}

func (fakeOwners) Owner(adapter string) (string, bool) { return "far", adapter == "reading" }

// fakeDrainChecker reports every node but one as draining.
type fakeDrainChecker struct{ except string }

func (f fakeDrainChecker) Draining(node string) bool { return node != f.except }

// Guards against a node that is ready before it has a bundle, and against
// answers that are not counted.
func TestReadyAndMetrics(t *testing.T) {
	is := is.New(t)
	bundles := publisher.New()
	m := meter.New("n", "lj", "lj1", func(err error) { t.Error(err) })
	srv := newTestServer(t, &fakePipeline{}, server.WithBundles(bundles), server.WithMetrics(m.Handler(), m.Scope()))
	resp, body := send(t, "GET", srv.URL+"/readyz", "")
	is.Equal(resp.StatusCode, 503)
	is.True(strings.Contains(body, "no bundle is in force yet"))
	bundles.Publish(bundler.NewSnapshot(1, &bundler.Document{}))
	resp, _ = send(t, "GET", srv.URL+"/readyz", "")
	is.Equal(resp.StatusCode, 200)
	is.NoErr(m.Close())
	_, body = send(t, "GET", srv.URL+"/metrics", "")
	is.True(strings.Contains(body, `dragonflyford_answers{data_centre="lj1",node="n",outcome="not-run",region="lj"} 1`))
}

// Guards against directing callers to another region, all to one node, or to a
// draining node.
func TestEntries(t *testing.T) {
	is := is.New(t)
	list := server.NewEntryList("lj", "lj1", []server.Entry{
		server.NewEntry("far", "far:1", "mb", "mb1"), server.NewEntry("region", "region:1", "lj", "lj2"),
		server.NewEntry("near-1", "near-1:1", "lj", "lj1"), server.NewEntry("near-2", "near-2:1", "lj", "lj1"),
	})
	srv := newTestServer(t, &fakePipeline{}, server.WithEntries(fakeEntries{list}, 2500*time.Millisecond), server.WithOwners(fakeOwners{}))
	get := func(query string) []string {
		_, body := send(t, "GET", srv.URL+"/v1/entries"+query, "")
		var doc struct {
			Entries []struct{ Address string }
			TTL     int `json:"ttl_seconds"`
		}
		is.NoErr(json.Unmarshal([]byte(body), &doc))
		is.Equal(doc.TTL, 3)
		var addresses []string
		for _, e := range doc.Entries {
			addresses = append(addresses, e.Address)
		}
		return addresses
	}
	first := map[string]int{}
	for range 50 {
		got := get("?adapter=unknown")
		first[got[0]]++
		is.Equal(got[2:], []string{"region:1", "far:1"})
	}
	is.True(first["near-1:1"] > 0 && first["near-2:1"] > 0)
	is.Equal(get("?adapter=reading")[0], "far:1")
	is.Equal(len(get("?adapter=reading")), 4)

	for _, active := range []string{"far", "near-2"} {
		only := newTestServer(t, &fakePipeline{}, server.WithEntries(fakeEntries{list}, time.Second), server.WithDrainChecker(fakeDrainChecker{active}))
		_, body := send(t, "GET", only.URL+"/v1/entries?adapter=reading", "")
		is.True(strings.Contains(body, `"entries":[{"address":"`+active+`:1",`) && strings.Count(body, "address") == 1)
	}

	resp, _ := send(t, "GET", newTestServer(t, &fakePipeline{}, server.WithEntries(fakeEntries{}, time.Second)).URL+"/v1/entries", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get("Retry-After"), "1")
}

// FuzzBodies guards against a body that makes a decoder panic or that is
// answered without an outcome.
func FuzzBodies(f *testing.F) {
	f.Add("/v1/completions", `{"model":"reading@v1","prompt":["p"],"stream":true,"stop":[]}`, "r", "1", "5")
	f.Add("/v1/chat/completions", `{"model":"reading@v1","messages":[{"role":"user","content":"c"}],"max_tokens":1e9}`, "", "", "")
	f.Add("/v1/services/ledger/%2e./x?y", "\x00", "r", "x", "99999999999999999999")
	h := server.New(&fakePipeline{}).Handler()
	f.Fuzz(func(t *testing.T, path, body, id, last, number string) {
		if !strings.HasPrefix(path, "/") {
			path = "/" + path
		}
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		u, err := r.URL.Parse(path)
		if err != nil {
			t.Skip()
		}
		r.URL, r.RequestURI = u, path
		r.Header = http.Header{
			"X-Request-Id": {id}, "Last-Event-Id": {last}, "X-Timeout-Ms": {number},
			"X-Priority": {number}, "Idempotency-Attempt": {number},
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Header().Get("X-Outcome") == "" || w.Header().Get("X-Request-Id") == "" {
			t.Errorf("status %d without outcome or id: %s", w.Code, strconv.Quote(w.Body.String()))
		}
		if w.Code == http.StatusBadGateway {
			t.Errorf("internal error: %s", w.Body)
		}
	})
}
