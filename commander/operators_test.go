package commander_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/reporter"
	"github.com/dragonflyford/dragonflyford/responder"
	"github.com/dragonflyford/dragonflyford/server"
)

const operatorKey = "operator-key-of-the-shift"

type fixedStatus server.StatusDocument

func (f fixedStatus) Status() server.StatusDocument { return server.StatusDocument(f) }

// startNode starts a server with the operator routes of a node and returns its
// URL.
func startNode(t *testing.T, name string, r *recorder.Recorder) string {
	t.Helper()
	status := fixedStatus{
		Node: name, Region: "lj", DataCentre: "lj1", Epoch: 7, Prepared: 8, UpToDate: true, Ready: true, Running: 3, Waiting: 1,
		Engines: []server.EngineStatusDocument{{
			Name: "reader-" + name, Fence: 4, Slots: 8, Batch: 16, Resident: []string{"a@v1", "b@v1"}, Loading: []string{"c@v1"}, Running: 3, Queued: 2,
		}},
	}
	pipeline := chainer.Func[*receiver.Call, *responder.Answer](nil)
	keys := server.Keys{}.Add("shift", sha256.Sum256([]byte(operatorKey)))
	s := httptest.NewServer(server.New(pipeline, server.WithStatus(status), server.WithRecorder(r), server.WithOperatorKeys(keys)).OperatorHandler())
	t.Cleanup(s.Close)
	return s.URL
}

// newEnvironmentWithNodes returns an environment with two nodes that have
// recorded decisions, and with settings files that list them.
func newEnvironmentWithNodes(t *testing.T) *environment {
	t.Helper()
	is := is.New(t)
	d := newEnvironment(t)
	first, second := recorder.New(10), recorder.New(10)
	first.Record("r/1", recorder.StagePlacer, "reader-n1", "adapter is resident")
	second.Record("r/1", recorder.StageRetrier, "again", "attempt failed")
	first.Record("r/1", recorder.StageResponder, "done", "")
	nodes := map[string]string{"n2": startNode(t, "n2", second), "n1": startNode(t, "n1", first)}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()

	is.NoErr(os.WriteFile(d.path("shift.key"), []byte(operatorKey+"\n"), 0o600))
	is.NoErr(os.WriteFile(d.path("wrong.key"), []byte("another-key"), 0o600))
	is.NoErr(os.WriteFile(d.path("empty.key"), nil, 0o600))
	settings := func(name, key string, nodes map[string]string) {
		d.writeJSON(name+".json", map[string]any{
			"operator": "ana", "table": "127.0.0.1:1", "objects": "127.0.0.1:2", "nodes": nodes, "operator_key_file": d.path(key),
		})
	}
	settings("shift", "shift.key", nodes)
	settings("wrong", "wrong.key", nodes)
	settings("empty", "empty.key", nodes)
	settings("nokey", "none.key", nodes)
	settings("unreachable", "shift.key", map[string]string{"n1": nodes["n1"], "n3": closed.URL})
	settings("path", "shift.key", map[string]string{"n1": "10.0.0.1:9"})
	d.writeJSON("badca.json", map[string]any{
		"operator": "ana", "table": "127.0.0.1:1", "objects": "127.0.0.1:2", "nodes": nodes,
		"operator_key_file": d.path("shift.key"), "operator_ca_file": d.path("shift.key"),
	})
	return d
}

// storeHistory stores service level history in the object store: one object of
// two hours ago and one of a hundred days ago.
func (d *environment) storeHistory() {
	d.t.Helper()
	bundles := publisher.New()
	bundles.Publish(bundler.NewSnapshot(1, &bundler.Document{ServiceLevels: []bundler.ServiceLevelDocument{
		{Name: "stall", Measure: bundler.MeasureLoadStall, ThresholdMS: 500, Objective: 0.9},
	}}))
	r := reporter.New("n1", "lj", bundles, d.objects)
	r.ObserveLoadWait("reading", 0)
	r.ObserveLoadWait("reading", time.Second)
	if err := r.Close(); err != nil {
		d.t.Fatal(err)
	}
	// A report ends three minutes ago (reporter.Lag), so the new counts are not part
	// of it yet. Copy them to earlier hours.
	keys, err := d.objects.List(d.t.Context(), "report/")
	if err != nil || len(keys) != 1 {
		d.t.Fatal(keys, err)
	}
	body, err := d.objects.Get(d.t.Context(), keys[0])
	if err != nil {
		d.t.Fatal(err)
	}
	for _, ago := range []time.Duration{2 * time.Hour, 100 * 24 * time.Hour} {
		hour := time.Now().UTC().Add(-ago).Format("2006-01-02T15")
		if err := d.objects.Put(d.t.Context(), "report/n1/"+hour+"/run-000001", body); err != nil {
			d.t.Fatal(err)
		}
	}
}

// Guards against commands that omit nodes without a response, and against output
// that contains the operator key.
func TestOperatorCommands(t *testing.T) {
	d := newEnvironmentWithNodes(t)
	d.storeHistory()
	d.writeJSON("load.json", map[string]any{"entries": []string{"127.0.0.1:1"}, "rats": 1})
	d.writeJSON("result.json", map[string]any{"requests": 10, "completed": 9})
	d.runSteps([]step{
		{"status", "*shift status", "", 0, "n1    lj      lj1          ready  7      8         3        1        0", ""},
		{"engines in status", "*shift status", "", 0, "reader-n2  n2     4      8      2         c@v1     3        16     2", ""},
		{"status as JSON", "*shift status --json", "", 0, `"epoch":7,"prepared_epoch":8`, ""},
		{"status with an unreachable node", "*unreachable status", "", 1, "n3    -       -            no answer: query node", "not all nodes have answered"},
		{"other nodes are shown", "*unreachable status", "", 1, "reader-n1", "not all nodes"},
		{"status without nodes", "*ana status", "", 2, "", `nodes: value "" is not allowed`},
		{"wrong key", "*wrong status", "", 1, "status 401", "not all nodes"},
		{"empty key file", "*empty status", "", 2, "", "must be a file with one key on one line"},
		{"no key file", "*nokey status", "", 2, "", "operator_key_file"},
		{"address without scheme", "*path status", "", 2, "", `nodes.n1: value "10.0.0.1:9" is not allowed`},
		{"CA file without certificates", "*badca status", "", 2, "", "must be a PEM file with certificates"},
		{"explain", "*shift explain r/1", "", 0, "adapter is resident", ""},
		{"explain as JSON", "*shift explain r/1 --json", "", 0, `"node":"n2","stage":"retrier"`, ""},
		{"explain an unknown request", "*shift explain r-2", "", 1, "", "no node has a decision"},
		{"explain with an unreachable node", "*unreachable explain r/1", "", 1, "no answer from node n3", "not all nodes"},
		{"explain without a request", "*shift explain", "", 2, "", "REQUEST-ID"},
		{"burn", "*shift report burn", "", 0, "stall  everywhere", ""},
		{"burn as JSON", "*shift report burn --json", "", 0, `"other_adapters":true`, ""},
		{"burn in a short window", "*shift report burn --window 1h", "", 0, "no events are recorded", ""},
		{"burn in an unknown window", "*shift report burn --window 2h", "", 2, "", "Invalid value `2h'"},
		{"burn as HTML", "*shift report burn --html @burn.html", "", 0, "", ""},
		{"burn as HTML and JSON", "*shift report burn --json --html @burn.html", "", 2, "", "absent with --json"},
		{"burn as HTML in a missing directory", "*shift report burn --html @none/burn.html", "", 2, "", "must be a file that can be written"},
		{"prune with too short a duration", "*shift report prune --older 1h", "", 2, "", "must be 72h or more"},
		{"prune", "*shift report prune", "", 0, "1 objects removed", ""},
		{"prune again", "*shift report prune --json", "", 0, `{"removed":0}`, ""},
		{"load without workload", "load", "", 2, "", "the path of a workload file"},
		{"load with a faulty workload", "load --config @load.json", "", 2, "", `unknown field "rats"`},
		{"compare", "load compare @result.json @result.json", "", 0, "+0.0%", ""},
		{"compare a file that is no result", "load compare @result.json @load.json", "", 2, "", "must be the result of a load run"},
		{"compare with one file", "load compare @result.json", "", 2, "", "AFTER"},
		{"completion", "completion bash", "", 0, "complete -o default -F _dragonflyctl dragonflyctl", ""},
	}, func(t *testing.T, out, errs string) {
		if strings.Contains(out+errs, operatorKey) {
			t.Error("the operator key is shown")
		}
	})
	page, err := os.ReadFile(d.path("burn.html"))
	is.New(t).NoErr(err)
	is.New(t).True(strings.Contains(string(page), "<svg"))
}

// Guards against decisions of several nodes that are not ordered by time.
func TestExplainOrder(t *testing.T) {
	is := is.New(t)
	d := newEnvironmentWithNodes(t)
	_, out, _ := d.run("", "--config", d.path("shift.json"), "explain", "r/1", "--json")
	var doc struct {
		Decisions []struct{ Stage string }
	}
	is.NoErr(json.Unmarshal([]byte(out), &doc))
	var stages []string
	for _, decision := range doc.Decisions {
		stages = append(stages, decision.Stage)
	}
	is.Equal(stages, []string{"placer", "retrier", "responder"})
}

// Guards against sending the operator key to another host after a redirect.
func TestKeyNotSentOnRedirect(t *testing.T) {
	is := is.New(t)
	d := newEnvironmentWithNodes(t)
	reached := false
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	t.Cleanup(other.Close)
	node := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(node.Close)
	d.writeJSON("moved.json", map[string]any{
		"operator": "ana", "table": "127.0.0.1:1", "objects": "127.0.0.1:2",
		"nodes": map[string]string{"n1": node.URL}, "operator_key_file": d.path("shift.key"),
	})
	code, out, _ := d.run("", "--config", d.path("moved.json"), "status")
	is.Equal(code, exiter.Failure)
	is.True(strings.Contains(out, "status 307"))
	is.True(!reached)
}

type fixedDirectory struct{ address string }

func (l fixedDirectory) OperatorAddresses(context.Context) ([]commander.OperatorAddress, error) {
	return []commander.OperatorAddress{commander.NewOperatorAddress("n1", l.address)}, nil
}

// Guards against settings without a node list for which the directory is not
// used.
func TestNodesFromPlatform(t *testing.T) {
	is := is.New(t)
	d := newEnvironmentWithNodes(t)
	d.platform = commander.NewPlatform(d.table, d.objects, d, commander.WithDirectory(fixedDirectory{startNode(t, "n1", recorder.New(1))}))
	d.writeJSON("found.json", map[string]any{
		"operator": "ana", "table": "127.0.0.1:1", "objects": "127.0.0.1:2", "operator_key_file": d.path("shift.key"),
	})
	code, out, _ := d.run("", "--config", d.path("found.json"), "status")
	is.Equal(code, exiter.Success)
	is.True(strings.Contains(out, "reader-n1"))
}

// Guards against a load run whose exit code or result does not show wrong
// answers.
func TestLoad(t *testing.T) {
	is := is.New(t)
	d := newEnvironment(t)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Outcome", "done")
		if strings.HasPrefix(r.URL.Path, "/v1/completions") {
			_, _ = w.Write([]byte("data: [DONE]\n\n")) // an answer without tokens counts as wrong
		}
	}))
	t.Cleanup(entry.Close)
	workload := map[string]any{"entries": []string{strings.TrimPrefix(entry.URL, "http://")}, "duration_s": 0.2, "rate": 100}
	d.writeJSON("wrong.json", workload)
	workload["mix"] = map[string]any{"generation": 0, "lookup": 1}
	d.writeJSON("lookups.json", workload)

	code, out, _ := d.run("", "load", "--config", d.path("lookups.json"))
	is.Equal(code, exiter.Success)
	is.True(strings.Contains(out, `"wrong_answers": 0`))
	code, out, errs := d.run("", "load", "--config", d.path("wrong.json"), "--out", d.path("result.json"))
	is.Equal(code, exiter.Failure)
	is.Equal(out, "")
	is.True(strings.Contains(errs, "answers were wrong"))
	code, _, _ = d.run("", "load", "compare", d.path("result.json"), d.path("result.json"))
	is.Equal(code, exiter.Success)
}

// Guards against completion that prints nothing.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	d := newEnvironment(t)
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	_, out, _ := d.run("", "re")
	is.Equal(out, "report\n")
	_, out, _ = d.run("", "report", "burn", "--w")
	is.Equal(out, "--window\n")
}
