package emulator

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/storer"
)

// PlatformHandler serves the platform's fakes over HTTP. A nil fake is not
// served.
func PlatformHandler(t *Table, o *Objects, h *HostList, ws *WeightStore) http.Handler {
	router := mux.NewRouter()
	if t != nil {
		addTable(router, t)
	}
	if o != nil {
		addObjects(router, o)
	}
	if h != nil {
		addHosts(router, h)
	}
	if ws != nil {
		addWeightStore(router, ws)
	}
	return router
}

func addTable(router *mux.Router, t *Table) {
	router.HandleFunc("/v1/row", func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.URL.Query().Get("key"))
		if err != nil {
			writePlatformError(w, err)
			return
		}
		writeDocument(w, http.StatusOK, encodeRow(row))
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/rows", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil || limit < 1 {
			writePlatformMalformed(w, fmt.Errorf("limit %q is not a positive number", query.Get("limit")))
			return
		}
		rows, err := t.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
		if err != nil {
			writePlatformError(w, err)
			return
		}
		doc := storer.RowsDocument{Rows: make([]storer.RowDocument, 0, len(rows))}
		for _, row := range rows {
			doc.Rows = append(doc.Rows, encodeRow(row))
		}
		writeDocument(w, http.StatusOK, doc)
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/commits", func(w http.ResponseWriter, r *http.Request) {
		writes, err := readCommit(w, r)
		if err != nil {
			writePlatformMalformed(w, err)
			return
		}
		if err := t.Commit(r.Context(), writes...); err != nil {
			writePlatformError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}

func encodeRow(r storer.Row) storer.RowDocument {
	return storer.RowDocument{Key: r.Key(), Value: r.Value(), Version: uint64(r.Version())}
}

func readCommit(w http.ResponseWriter, r *http.Request) ([]storer.Write, error) {
	doc, err := readDocument[storer.CommitDocument](w, r)
	if err != nil {
		return nil, err
	}
	writes := make([]storer.Write, 0, len(doc.Writes))
	for _, d := range doc.Writes {
		expected := storer.Version(d.Expected)
		switch d.Kind {
		case storer.KindPut:
			writes = append(writes, storer.NewPut(d.Key, d.Value, expected))
		case storer.KindDelete:
			writes = append(writes, storer.NewDelete(d.Key, expected))
		case storer.KindCheck:
			writes = append(writes, storer.NewCheck(d.Key, expected))
		default:
			return nil, fmt.Errorf("kind %q of the write to %q is not put, delete or check", d.Kind, d.Key)
		}
	}
	return writes, nil
}

func addObjects(router *mux.Router, o *Objects) {
	router.HandleFunc("/v1/object", func(w http.ResponseWriter, r *http.Request) {
		body, err := o.Get(r.Context(), r.URL.Query().Get("key"))
		if err != nil {
			writePlatformError(w, err)
			return
		}
		writeBody(w, http.StatusOK, "application/octet-stream", body)
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/object", func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r)
		if err != nil {
			writePlatformMalformed(w, err)
			return
		}
		if err := o.Put(r.Context(), r.URL.Query().Get("key"), body); err != nil {
			writePlatformError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPut)
	router.HandleFunc("/v1/object", func(w http.ResponseWriter, r *http.Request) {
		if err := o.Delete(r.Context(), r.URL.Query().Get("key")); err != nil {
			writePlatformError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	router.HandleFunc("/v1/objects", func(w http.ResponseWriter, r *http.Request) {
		keys, err := o.List(r.Context(), r.URL.Query().Get("prefix"))
		if err != nil {
			writePlatformError(w, err)
			return
		}
		writeDocument(w, http.StatusOK, storer.KeysDocument{Keys: keys})
	}).Methods(http.MethodGet)
}

func addHosts(router *mux.Router, h *HostList) {
	router.HandleFunc("/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := h.List(r.Context())
		if err != nil {
			writePlatformError(w, err)
			return
		}
		doc := storer.HostsDocument{Hosts: make([]storer.HostDocument, 0, len(hosts))}
		for _, host := range hosts {
			doc.Hosts = append(doc.Hosts, storer.HostDocument{Name: host.Name(), Leaving: host.Leaving()})
		}
		writeDocument(w, http.StatusOK, doc)
	}).Methods(http.MethodGet)
}

func addWeightStore(router *mux.Router, ws *WeightStore) {
	router.HandleFunc("/v1/loads", func(w http.ResponseWriter, r *http.Request) {
		doc, err := readDocument[connector.AdapterDocument](w, r)
		if err != nil {
			writeEndpointMalformed(w, err)
			return
		}
		if err := ws.Load(r.Context(), connector.DecodeModel(doc)); err != nil {
			writeEndpointError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}
