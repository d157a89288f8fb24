package impersonator

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// Row is a row of the store on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowsAnswer struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

type transaction struct {
	Expected []Row `json:"expected"`
	Set      []Row `json:"set_keys"`
	Remove   []Row `json:"remove"`
}

// rowKey names a row.
type rowKey struct{ table, part, key string }

func (r Row) name() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is a stand-in of the platform's store.
type Store struct {
	began    time.Time
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	rows    map[rowKey]Row
	history []Row
	ver     uint64
	changed chan struct{}
}

// NewStore starts a store on a loopback address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{began: time.Now(), listener: l, rows: make(map[rowKey]Row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /dragonflyford/rows-tx", s.transact)
	mux.HandleFunc("GET /dragonflyford/rows-get", s.get)
	mux.HandleFunc("GET /dragonflyford/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a row whose part is empty, as the operator or a worker does, with a value in JSON.
func (s *Store) Put(table, key string, value any) { s.PutPart(table, "", key, value) }

// PutPart writes a row of a part.
func (s *Store) PutPart(table, part, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values of the cases can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Part: part, Key: key, Value: data}}, nil)
}

// apply requires mu.
func (s *Store) apply(set, remove []Row) {
	s.ver++
	for _, r := range set {
		r.Ver, r.Removed = s.ver, false
		s.rows[r.name()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		delete(s.rows, r.name())
		s.history = append(s.history, Row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer requires mu.
func (s *Store) answer(rows []Row) rowsAnswer {
	if rows == nil {
		rows = []Row{}
	}
	return rowsAnswer{Rows: rows, Ver: s.ver, NowMS: time.Since(s.began).Milliseconds()}
}

func send(w http.ResponseWriter, status int, a rowsAnswer) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // the host may be gone
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	failed := false
	for _, e := range t.Expected {
		row, ok := s.rows[e.name()]
		failed = failed || row.Ver != e.Ver
		if ok {
			current = append(current, row)
		}
	}
	if failed {
		send(w, http.StatusPreconditionFailed, s.answer(current))
		return
	}
	s.apply(t.Set, t.Remove)
	send(w, http.StatusOK, s.answer(nil))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	send(w, http.StatusOK, s.answer(rows))
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		var rows []Row
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		answer, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ended {
			send(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}
