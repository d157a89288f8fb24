package messenger_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/messenger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/permitter"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/sharer"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

type handler struct {
	mu         sync.Mutex
	request    supplier.ReserveRequest
	answer     supplier.ReserveResponse
	evidence   []screener.Evidence
	limits     []permitter.Report
	mirror     *mirrorer.Mirror
	records    []replicator.Record
	coverage   pinner.Coverage
	draw       allotter.Request
	delegation allotter.Delegation
	verdict    accountant.Verdict
	speed      procurer.SpeedReport
	ended      error
}

func (h *handler) LearnSpeed(r procurer.SpeedReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.speed = r
}

func (h *handler) Reserve(_ context.Context, request supplier.ReserveRequest) supplier.ReserveResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.request = request
	return h.answer
}

func (h *handler) Learn(evidence []screener.Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evidence = evidence
}

func (h *handler) LearnLimits(list []permitter.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = list
}

func (h *handler) Admit(request permitter.Request) permitter.Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = []permitter.Report{request.Report}
	return permitter.NewResponse(limiter.NewDeclined(request.MaxWait()), request.Limit())
}

func (h *handler) Draw(r allotter.Request) (accountant.Verdict, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draw = r
	return h.verdict, h.ended
}

func (h *handler) RecordDelegation(d allotter.Delegation) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delegation = d
	return h.ended
}

func (h *handler) KeepRecords(list []replicator.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, list...)
}

func (h *handler) FindRecord(_, key string) pinner.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.records {
		if r.Key() == key {
			return pinner.NewFound(r.Version())
		}
	}
	return pinner.NewAbsent(h.coverage)
}

func (h *handler) RecordStatus(process uint64) replicator.Status {
	restatement := pinner.NewRestatement(3, map[string]time.Duration{"s": time.Minute}, map[uint64]time.Duration{3: time.Second})
	return replicator.NewStatus(process == 7, process == 7, process, restatement)
}

func (h *handler) Mirror(table string) *mirrorer.Mirror {
	if table != "t" {
		return nil
	}
	return h.mirror
}

type discardHandler struct{}

func (discardHandler) Restored()                                            {}
func (discardHandler) Replace([]storer.Change)                              {}
func (discardHandler) Apply([]storer.Change)                                {}
func (discardHandler) Contact(storer.Version, time.Duration, time.Duration) {}

func connect(t *testing.T, h *handler) (*messenger.Messenger, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return connectThrough(t, h, l)
}

// connectThrough returns a client of a server that uses the listener.
func connectThrough(t *testing.T, h *handler, l net.Listener) (*messenger.Messenger, string) {
	t.Helper()
	server, err := messenger.New(h)
	if err != nil {
		t.Fatal(err)
	}
	client, err := messenger.New(&handler{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
		cancel()
		<-done
	})
	return client, l.Addr().String()
}

// Guards against requests and responses that are altered by the encoding.
func TestReserve(t *testing.T) {
	h := &handler{}
	client, address := connect(t, h)
	request := supplier.NewReserveRequest("e1", connector.NewModel("m", "a", ""), supplier.WithMinVersion(7), supplier.WithModelMissing(true),
		supplier.WithSize(100, 20, 300*time.Millisecond), supplier.WithModelsInUse([]connector.Model{connector.NewModel("m", "b", "")}),
		supplier.WithMaxLoadWait(400*time.Millisecond), supplier.WithLastResort(true), supplier.WithWorkspace(sharer.NewWorkspace("ana", 2)),
		supplier.WithSamples([]estimator.Sample{estimator.NewPrefill(900, 41*time.Millisecond), estimator.NewGeneration(70, time.Second, true), estimator.NewOccupancy(0)}))
	for _, answer := range []supplier.ReserveResponse{
		supplier.NewGranted(7, 25*time.Millisecond), supplier.NewDeclined("full", time.Second), supplier.NewFull(time.Second),
		supplier.NotOwner{},
		supplier.NewGranted(7, time.Second).AsUnsure(), supplier.NewLoadsQueued(time.Second),
	} {
		is := is.New(t)
		h.answer = answer
		got, err := client.Reserve(t.Context(), address, request)
		is.NoErr(err)
		is.Equal(got, answer)
		is.Equal(h.request, request)
	}
}

// Guards against a slowdown that is altered by the encoding.
func TestReportSpeed(t *testing.T) {
	is := is.New(t)
	h := &handler{}
	client, address := connect(t, h)
	report := procurer.NewSpeedReport("e1", estimator.NewSlowdown(2.5))
	is.NoErr(client.ReportSpeed(t.Context(), address, report))
	is.Equal(h.speed, report)
}

// Guards against evidence and table copies that are lost between hosts.
func TestSendEvidenceAndFollow(t *testing.T) {
	is := is.New(t)
	h := &handler{mirror: mirrorer.New(discardHandler{})}
	client, address := connect(t, h)
	evidence := []screener.Evidence{
		screener.NewMark(5, "e1/1", "part1", "part2").Aged(time.Minute), screener.NewMark(6, "e2/1"), screener.NewBegun("part1"),
	}
	is.NoErr(client.SendEvidence(t.Context(), address, evidence))
	is.Equal(len(h.evidence), 3)
	got, ok := h.evidence[0].(screener.Mark)
	is.True(ok)
	is.Equal(got.Call(), screener.Fingerprint(5))
	is.Equal(got.Endpoint(), "e1/1")
	is.Equal(got.Prompt(), []router.PromptPart{"part1", "part2"})
	is.True(got.Age() >= time.Minute && got.Age() < 2*time.Minute)
	got, ok = h.evidence[1].(screener.Mark)
	is.True(ok)
	is.Equal(len(got.Prompt()), 0)
	is.Equal(h.evidence[2], screener.NewBegun("part1"))

	_, err := client.Snapshot(t.Context(), address, "t")
	is.True(errors.Is(err, storer.ErrUnavailable)) // not read yet
	h.mirror.Replace([]storer.Change{storer.NewChange(storer.NewRow("k", []byte("v"), 3))})
	h.mirror.Contact(4, time.Minute, 0)
	whole, err := client.Snapshot(t.Context(), address, "t")
	is.NoErr(err)
	is.Equal(whole.Changes().List()[0].Key(), "k")
	is.Equal(whole.Changes().Version(), storer.Version(4))
	is.True(whole.Changes().Clock() >= time.Minute)
	_, err = client.Follow(t.Context(), address, "t", 1, time.Second)
	is.True(errors.Is(err, storer.ErrHistoryLost))
	h.mirror.Apply([]storer.Change{storer.NewRemoval("k", 6)})
	h.mirror.Contact(6, time.Minute, 0)
	changes, err := client.Follow(t.Context(), address, "t", 4, time.Second)
	is.NoErr(err)
	is.True(changes.Changes().List()[0].Removed())
	_, err = client.Snapshot(t.Context(), address, "other")
	is.True(errors.Is(err, storer.ErrUnavailable))
}

// Guards against a request that does not fail if the host is unreachable.
func TestUnreachableHost(t *testing.T) {
	is := is.New(t)
	client, _ := connect(t, &handler{})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := client.Reserve(ctx, "127.0.0.1:1", supplier.NewReserveRequest("e1", connector.Model{}))
	is.True(err != nil)
}

// Guards against connections of other hosts beyond the limit, against a refusal that breaks an
// established one, and against one that counts after its end.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var refused atomic.Int64
	l := acceptor.NewLimited(inner, 2, func(acceptor.Cause) { refused.Add(1) })
	client, address := connectThrough(t, &handler{}, l)
	is.NoErr(client.SendLimits(t.Context(), address, nil))
	silent, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	eventually(t, func() bool { return l.Open() == 2 })

	other, err := messenger.New(&handler{})
	is.NoErr(err)
	defer func() { is.NoErr(other.Close()) }()
	is.True(other.SendLimits(t.Context(), address, nil) != nil)
	eventually(t, func() bool { return refused.Load() == 1 })
	is.Equal(l.Open(), 2)
	is.NoErr(client.SendLimits(t.Context(), address, nil)) // on the connection that is kept
	is.Equal(refused.Load(), int64(1))

	is.NoErr(silent.Close())
	eventually(t, func() bool { return l.Open() == 1 })
	is.NoErr(other.SendLimits(t.Context(), address, nil))
	is.Equal(l.Open(), 2)
}

// pipeListener is a listener with one connection.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error {
	close(l.conns)
	return nil
}

// Guards against connections on which no call begins and that count against the limit until
// their host ends, and against the end of one that other hosts would still use.
func TestInactiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, err := messenger.New(&handler{})
		is.NoErr(err)
		l := pipeListener{conns: make(chan net.Conn, 1)}
		client, accepted := net.Pipe()
		l.conns <- accepted
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- server.Serve(ctx, l) }()
		began := time.Now()
		_, err = client.Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF))
		is.Equal(time.Since(began), time.Minute) // other hosts keep an unused connection for 20 s
		cancel()
		is.NoErr(<-done)
	})
}

func eventually(t *testing.T, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the state is not reached")
		}
	}
}

// Guards against limits and turns that change on their way between hosts.
func TestLimits(t *testing.T) {
	is := is.New(t)
	h := &handler{}
	client, address := connect(t, h)
	limit := tracker.NewLimit(4.5, time.Now().Add(-3*time.Second))
	reports := []permitter.Report{permitter.NewReport("e1", 7, limit), permitter.NewReport("e2", 8, tracker.NewNoLimit(time.Now()))}
	is.NoErr(client.SendLimits(t.Context(), address, reports))
	is.Equal(len(h.limits), 2)
	is.Equal(h.limits[0].Endpoint(), "e1")
	is.Equal(h.limits[0].Born(), int64(7))
	rate, limited := h.limits[0].Limit().Rate()
	is.True(limited)
	is.Equal(rate, 4.5)
	age := time.Since(h.limits[0].Limit().At())
	is.True(age >= 3*time.Second && age < 4*time.Second)
	_, limited = h.limits[1].Limit().Rate()
	is.True(!limited)

	response, err := client.Admit(t.Context(), address, permitter.NewRequest(reports[0], 200*time.Millisecond))
	is.NoErr(err)
	is.Equal(response.Verdict(), limiter.NewDeclined(200*time.Millisecond))
	rate, limited = response.Limit().Rate()
	is.True(limited)
	is.Equal(rate, 4.5)
}

// Guards against an absent record whose meaning is lost between two hosts.
func TestRecords(t *testing.T) {
	is := is.New(t)
	h := &handler{coverage: pinner.Incomplete{}}
	client, address := connect(t, h)
	record := replicator.NewRecord("s", "stream", "v2")
	is.NoErr(client.Replicate(t.Context(), address, []replicator.Record{record}))
	is.Equal(h.records, []replicator.Record{record})
	others := []replicator.Record{
		replicator.NewRecord("s", "older", "v2").From(7).Aged(90 * time.Second),
		replicator.NewRecord("s", "third", "v3").From(7),
		replicator.NewRecord("s", "fourth", "v2").From(7).Aged(time.Second),
	}
	is.NoErr(client.Replicate(t.Context(), address, others))
	is.Equal(h.records, []replicator.Record{record, others[0], others[2], others[1]}) // by version and host
	is.True(client.Replicate(t.Context(), address, []replicator.Record{replicator.DecodedRecord("s", "no key", "v2")}) != nil)
	got, err := client.Find(t.Context(), address, "s", record.Key())
	is.NoErr(err)
	is.Equal(got, pinner.NewFound("v2"))
	for _, c := range []pinner.Coverage{pinner.Incomplete{}, pinner.NewComplete(90 * time.Second)} {
		h.coverage = c
		got, err := client.Find(t.Context(), address, "s", "other")
		is.NoErr(err)
		is.Equal(got, pinner.NewAbsent(c))
	}
	for _, process := range []uint64{7, 8} {
		status, err := client.Status(t.Context(), address, process)
		is.NoErr(err)
		is.Equal(status, h.RecordStatus(process))
	}
}

// Guards against draws and delegations that change on their way between hosts, and against a
// refusal or an error that arrives as a grant.
func TestQuotas(t *testing.T) {
	is := is.New(t)
	h := &handler{verdict: accountant.NewGranted(accountant.NewBalance(-12.5))}
	client, address := connect(t, h)
	request := allotter.NewRequest("a", "w", accountant.NewTerms(7, 1000.5, 2000), 16.5).With(allotter.NewReport(3.5, 4, 7))
	for _, r := range []allotter.Request{request, request.As(allotter.Standby{}).AtMost(-5), request.As(allotter.Substitute{}).AtMost(0)} {
		verdict, err := client.Draw(t.Context(), address, r)
		is.NoErr(err)
		is.Equal(verdict, h.verdict)
		is.Equal(h.draw, r)
		h.verdict = accountant.NewExceeded(70*time.Millisecond, accountant.NewBalance(0))
	}
	for _, v := range []accountant.Verdict{accountant.Granted{}, accountant.NewExceeded(time.Second, accountant.Balance{})} {
		h.verdict = v // of a host that says nothing of what is left
		verdict, err := client.Draw(t.Context(), address, request)
		is.NoErr(err)
		is.Equal(verdict, v)
	}
	for _, list := range [][]allotter.Quota{
		{allotter.NewQuota("w", allotter.Report{}), allotter.NewQuota("v", allotter.NewReport(0, 12, 3))},
		{allotter.NewQuota("w", allotter.Report{})},
	} {
		d := allotter.NewDelegation("a", list, allotter.Substitute{})
		is.NoErr(client.SendDelegation(t.Context(), address, d))
		is.Equal(h.delegation, d)
	}
	former := allotter.NewDelegation("a", []allotter.Quota{allotter.NewQuota("w", allotter.Report{})}, allotter.Former{})
	is.NoErr(client.SendDelegation(t.Context(), address, former))
	is.Equal(h.delegation, former)
	h.ended = allotter.ErrEnded // and it answers
	_, err := client.Draw(t.Context(), address, request)
	is.True(errors.Is(err, allotter.ErrEnded))
	is.True(errors.Is(client.SendDelegation(t.Context(), address, allotter.Delegation{}), allotter.ErrEnded))
	is.True(errors.Is(client.SendDelegation(t.Context(), "127.0.0.1:1", allotter.Delegation{}), allotter.ErrEnded))
}
