package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
)

// Targets of faults besides the names of endpoints.
const (
	targetTable   = "table"
	targetObjects = "objects"
	targetHosts   = "hosts"
	targetWeights = "weights"
)

// FaultDocument injects a fault over the control interface.
type FaultDocument struct {
	// Target is the name of an endpoint, "table", "objects", "hosts" or
	// "weights".
	Target string `json:"target"`
	// Kind is "down", "slow", "answer_lost", "crossed", "load_fails", "restart_cold",
	// "crash_on" or "lag".
	Kind string `json:"kind"`
	// ByMS is the delay for slow, or the age for lag, in milliseconds.
	ByMS float64 `json:"by_ms,omitempty"`
	// Count and Share apply to answer_lost, crossed and load_fails.
	Count int     `json:"count,omitempty"`
	Share float64 `json:"share,omitempty"`
	// Marker applies to crash_on.
	Marker string `json:"marker,omitempty"`
	// DelayMS is how long the engine is unavailable after restart_cold or
	// crash_on, in milliseconds.
	DelayMS float64 `json:"delay_ms,omitempty"`
}

// fault returns the fault that the document describes.
func (d FaultDocument) fault() (Fault, error) {
	var c checker
	c.number("by_ms", d.ByMS, maxMS)
	c.number("count", float64(d.Count), maxCount)
	c.number("share", d.Share, 1)
	c.number("delay_ms", d.DelayMS, maxMS)
	if len(c.errs) > 0 {
		return nil, c.errs[0]
	}
	switch d.Kind {
	case "down":
		return Down{}, nil
	case "slow":
		return NewSlow(ms(d.ByMS)), nil
	case "answer_lost":
		return NewAnswerLost(d.Count, d.Share), d.checkChance()
	case "crossed":
		return NewCrossed(d.Count, d.Share), d.checkChance()
	case "load_fails":
		return NewLoadFails(d.Count, d.Share), d.checkChance()
	case "restart_cold":
		return NewRestartCold(ms(d.DelayMS)), nil
	case "crash_on":
		if d.Marker == "" {
			return nil, &SettingError{setting: "marker", value: `""`, allowed: "a text that is not empty"}
		}
		return NewCrashOn(d.Marker, ms(d.DelayMS)), nil
	case "lag":
		return NewLag(ms(d.ByMS)), nil
	default:
		return nil, &SettingError{
			setting: "kind", value: strconv.Quote(d.Kind),
			allowed: "down, slow, answer_lost, crossed, load_fails, restart_cold, crash_on or lag",
		}
	}
}

func (d FaultDocument) checkChance() error {
	if d.Count == 0 && d.Share == 0 {
		return &SettingError{setting: "count", value: "0", allowed: "a positive count or share"}
	}
	return nil
}

// ExecutionsDocument holds the number of executions of each operation, summed
// over all services.
type ExecutionsDocument struct {
	Operations map[string]int `json:"operations"`
}

// StatsDocument holds the counters of the fakes since they were started.
type StatsDocument struct {
	Engines []EngineStatsDocument `json:"engines"`
	Weights WeightsStatsDocument  `json:"weights"`
	Table   TableStatsDocument    `json:"table"`
}

// EngineStatsDocument holds the counters of one engine.
type EngineStatsDocument struct {
	Name            string   `json:"name"`
	Instance        string   `json:"instance"`
	Resident        []string `json:"resident"`
	Steps           int      `json:"steps"`
	Tokens          int      `json:"tokens"`
	BatchEfficiency float64  `json:"batch_efficiency"`
	Loads           int      `json:"loads"`
	Unloads         int      `json:"unloads"`
	BrokenByUnload  int      `json:"broken_by_unload"`
	Crashes         int      `json:"crashes"`
}

// WeightsStatsDocument holds the counters of the weight store.
type WeightsStatsDocument struct {
	Loads        int `json:"loads"`
	Failed       int `json:"failed"`
	PeakInFlight int `json:"peak_in_flight"`
}

// TableStatsDocument holds the counters of the table.
type TableStatsDocument struct {
	Reads     int `json:"reads"`
	Commits   int `json:"commits"`
	Rows      int `json:"rows"`
	Conflicts int `json:"conflicts"`
}

// HostStateDocument sets the state of a host: "live", "leaving" or "gone".
type HostStateDocument struct {
	State string `json:"state"`
}

// ControlErrorDocument is the body of a control request that failed.
type ControlErrorDocument struct {
	Message string `json:"message"`
}

// controlHandler serves the control interface of a set of fakes.
func controlHandler(s *fakeSet) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/control/faults", s.inject).Methods(http.MethodPost)
	router.HandleFunc("/control/faults", s.clear).Methods(http.MethodDelete)
	router.HandleFunc("/control/executions", s.serveExecutions).Methods(http.MethodGet)
	router.HandleFunc("/control/stats", s.stats).Methods(http.MethodGet)
	router.HandleFunc("/control/hosts/{name}", s.setHost).Methods(http.MethodPut)
	return router
}

func writeControlError(w http.ResponseWriter, status int, err error) {
	writeDocument(w, status, ControlErrorDocument{Message: err.Error()})
}

func (s *fakeSet) inject(w http.ResponseWriter, r *http.Request) {
	var doc FaultDocument
	body, err := readBody(w, r)
	if err == nil {
		err = decodeStrictly(body, &doc)
	}
	if err != nil {
		writeControlError(w, http.StatusBadRequest, err)
		return
	}
	f, err := doc.fault()
	if err != nil {
		writeControlError(w, http.StatusBadRequest, err)
		return
	}
	target, ok := s.faultInjector(doc.Target)
	if !ok {
		writeControlError(w, http.StatusNotFound, s.unknownTarget(doc.Target))
		return
	}
	if err := target.Inject(f); err != nil {
		writeControlError(w, http.StatusBadRequest, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *fakeSet) unknownTarget(name string) error {
	return &SettingError{setting: "target", value: strconv.Quote(name), allowed: "one of " + strings.Join(s.targets(), ", ")}
}

// clear ends the faults of the target in the query, or of all targets if there
// is none.
func (s *fakeSet) clear(w http.ResponseWriter, r *http.Request) {
	names := s.targets()
	if name := r.URL.Query().Get("target"); name != "" {
		names = []string{name}
	}
	for _, name := range names {
		target, ok := s.faultInjector(name)
		if !ok {
			writeControlError(w, http.StatusNotFound, s.unknownTarget(name))
			return
		}
		target.Clear()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *fakeSet) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeDocument(w, http.StatusOK, ExecutionsDocument{Operations: s.Executions()})
}

func (s *fakeSet) stats(w http.ResponseWriter, _ *http.Request) {
	table := s.table.Counters()
	doc := StatsDocument{
		Engines: make([]EngineStatsDocument, 0, len(s.endpoints)),
		Weights: WeightsStatsDocument{Loads: s.weights.Loads(), Failed: s.weights.Failed(), PeakInFlight: s.weights.PeakInFlight()},
		Table: TableStatsDocument{
			Reads: table.Reads(), Commits: table.Commits(), Rows: table.Rows(), Conflicts: table.Conflicts(),
		},
	}
	for _, e := range s.endpoints {
		if e.engine != nil {
			doc.Engines = append(doc.Engines, engineStats(e.name, e.engine))
		}
	}
	writeDocument(w, http.StatusOK, doc)
}

func engineStats(name string, e *Engine) EngineStatsDocument {
	c := e.Counters()
	doc := EngineStatsDocument{
		Name:            name,
		Instance:        e.Instance(),
		Resident:        make([]string, 0, e.settings.slots),
		Steps:           c.Steps(),
		Tokens:          c.Tokens(),
		BatchEfficiency: c.BatchEfficiency(),
		Loads:           c.Loads(),
		Unloads:         c.Unloads(),
		BrokenByUnload:  c.BrokenByUnload(),
		Crashes:         c.Crashes(),
	}
	for _, m := range e.Resident() {
		doc.Resident = append(doc.Resident, m.String())
	}
	slices.Sort(doc.Resident)
	return doc
}

func (s *fakeSet) setHost(w http.ResponseWriter, r *http.Request) {
	doc, err := readDocument[HostStateDocument](w, r)
	if err != nil {
		writeControlError(w, http.StatusBadRequest, err)
		return
	}
	states := map[string]HostState{"live": HostLive, "leaving": HostLeaving, "gone": HostGone}
	state, ok := states[doc.State]
	if !ok {
		writeControlError(w, http.StatusBadRequest, &SettingError{
			setting: "state", value: strconv.Quote(doc.State), allowed: "live, leaving or gone",
		})
		return
	}
	s.hosts.Set(mux.Vars(r)["name"], state)
	w.WriteHeader(http.StatusNoContent)
}
