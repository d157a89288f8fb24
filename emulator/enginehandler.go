package emulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/connector"
)

// EngineHandler serves an engine over HTTP.
func EngineHandler(e *Engine) http.Handler {
	router := mux.NewRouter()
	h := &engineHandler{engine: e}
	router.HandleFunc("/v1/completions", h.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/report", h.report).Methods(http.MethodGet)
	router.HandleFunc("/v1/load_model", orderHandler(h, func(f connector.Fence, d connector.LoadModelDocument) (connector.Order, error) {
		return connector.NewLoadModel(f, d.Base), nil
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/load_lora_adapter", orderHandler(h, func(f connector.Fence, d connector.AdapterDocument) (connector.Order, error) {
		return connector.NewLoadAdapter(f, connector.DecodeModel(d)), nil
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/unload_lora_adapter", orderHandler(h, func(f connector.Fence, d connector.AdapterDocument) (connector.Order, error) {
		return connector.NewUnloadAdapter(f, connector.DecodeModel(d)), nil
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/role", orderHandler(h, func(f connector.Fence, d connector.RoleDocument) (connector.Order, error) {
		role, err := connector.ParseRole(d.Role)
		return connector.NewChangeRole(f, role), err
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache/export", h.export).Methods(http.MethodPost)
	router.HandleFunc("/v1/cache/import", h.importState).Methods(http.MethodPost)
	return router
}

type engineHandler struct {
	engine *Engine
}

// orderHandler returns the handler of one kind of order. The deadline of an
// order limits when it may be sent and is not part of the message.
func orderHandler[D any](h *engineHandler, build func(connector.Fence, D) (connector.Order, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		doc, err := readDocument[D](w, r)
		if err != nil {
			writeEndpointMalformed(w, err)
			return
		}
		value := r.Header.Get(connector.HeaderFencingToken)
		token, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			writeEndpointMalformed(w, fmt.Errorf("%s %q is not a number", connector.HeaderFencingToken, value))
			return
		}
		order, err := build(connector.NewFence(token, time.Time{}), doc)
		if err != nil {
			writeEndpointMalformed(w, err)
			return
		}
		if err := h.engine.receiveOrder(r.Context(), order); err != nil {
			writeEndpointError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (h *engineHandler) report(w http.ResponseWriter, r *http.Request) {
	report, err := h.engine.Report(r.Context())
	if err != nil {
		writeEndpointError(w, err)
		return
	}
	writeDocument(w, http.StatusOK, connector.EncodeReport(report))
}

func (h *engineHandler) complete(w http.ResponseWriter, r *http.Request) {
	doc, err := readDocument[connector.CompletionDocument](w, r)
	if err != nil {
		writeEndpointMalformed(w, err)
		return
	}
	if !doc.Stream {
		writeEndpointMalformed(w, errors.New("stream must be true"))
		return
	}
	job, err := connector.DecodeJob(doc)
	if err != nil {
		writeEndpointMalformed(w, err)
		return
	}
	stream, err := h.engine.Generate(r.Context(), job)
	if err != nil {
		writeEndpointError(w, err)
		return
	}
	defer func() { _ = stream.Close() }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if err := sendEvents(w, r, stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// sendEvents writes a stream as server-sent events, one per token. The last
// token and the end event are flushed together.
func sendEvents(w http.ResponseWriter, r *http.Request, stream connector.Stream) error {
	control := http.NewResponseController(w)
	var event bytes.Buffer
	encoder := json.NewEncoder(&event)
	for {
		if err := control.Flush(); err != nil {
			return fmt.Errorf("send event: %w", err)
		}
		chunk, err := stream.Next(r.Context())
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(w, "data: [DONE]\n\n")
			return err
		}
		if err != nil {
			return err
		}
		event.Reset()
		event.WriteString("data: ")
		if err := encoder.Encode(connector.EncodeChunk(chunk)); err != nil {
			return fmt.Errorf("encode event: %w", err)
		}
		event.WriteByte('\n')
		if _, err := w.Write(event.Bytes()); err != nil {
			return fmt.Errorf("send event: %w", err)
		}
	}
}

func (h *engineHandler) export(w http.ResponseWriter, r *http.Request) {
	doc, err := readDocument[connector.ExportDocument](w, r)
	if err != nil {
		writeEndpointMalformed(w, err)
		return
	}
	state, err := h.engine.ExportCache(r.Context(), connector.DecodeModel(doc.Model), doc.Prompt)
	if err != nil {
		writeEndpointError(w, err)
		return
	}
	writeBody(w, http.StatusOK, "application/octet-stream", state)
}

func (h *engineHandler) importState(w http.ResponseWriter, r *http.Request) {
	state, err := readBody(w, r)
	if err != nil {
		writeEndpointMalformed(w, err)
		return
	}
	if err := h.engine.ImportCache(r.Context(), state); err != nil {
		writeEndpointError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
