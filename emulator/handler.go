package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/storer"
)

const maxBody = 64 << 20 // bytes of one request

// readBody reads the whole request body. Until it is read, net/http does not
// detect that the client has closed the connection.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	return body, nil
}

func readDocument[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var doc T
	body, err := readBody(w, r)
	if err != nil {
		return doc, err
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return doc, fmt.Errorf("decode request: %w", err)
	}
	return doc, nil
}

func writeDocument(w http.ResponseWriter, status int, doc any) {
	body, err := json.Marshal(doc)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, status, "application/json", body)
}

func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write(body)
}

// writePlatformError writes the error response of a platform request. If the
// response is lost, it aborts the connection.
func writePlatformError(w http.ResponseWriter, err error) {
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeDocument(w, http.StatusConflict, storer.ErrorDocument{
			Code: storer.CodeConflict, Message: err.Error(), Key: conflict.Key(),
		})
	case errors.Is(err, storer.ErrNotFound):
		writeDocument(w, http.StatusNotFound, storer.ErrorDocument{Code: storer.CodeNotFound, Message: err.Error()})
	case errors.Is(err, storer.ErrUnavailable):
		writeDocument(w, http.StatusServiceUnavailable, storer.ErrorDocument{Code: storer.CodeUnavailable, Message: err.Error()})
	default:
		panic(http.ErrAbortHandler)
	}
}

func writePlatformMalformed(w http.ResponseWriter, err error) {
	writeDocument(w, http.StatusBadRequest, storer.ErrorDocument{Code: storer.CodeMalformed, Message: err.Error()})
}

// endpointCode returns the status and the code for an error of an endpoint, or
// false if the response is lost.
func endpointCode(err error) (status int, code string, ok bool) {
	switch {
	case errors.Is(err, connector.ErrBroken):
		return 0, "", false
	case errors.Is(err, connector.ErrFenced):
		return http.StatusPreconditionFailed, connector.CodeFenced, true
	case errors.Is(err, connector.ErrNotResident):
		return http.StatusNotFound, connector.CodeNotResident, true
	case errors.Is(err, connector.ErrLoadFailed):
		return http.StatusBadGateway, connector.CodeLoadFailed, true
	case errors.Is(err, connector.ErrRefused):
		return http.StatusServiceUnavailable, connector.CodeRefused, true
	default:
		return 0, "", false
	}
}

func writeEndpointError(w http.ResponseWriter, err error) {
	status, code, ok := endpointCode(err)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(connector.HeaderEndpointError, code)
	writeDocument(w, status, connector.ErrorDocument{Code: code, Message: err.Error()})
}

func writeEndpointMalformed(w http.ResponseWriter, err error) {
	w.Header().Set(connector.HeaderEndpointError, connector.CodeMalformed)
	writeDocument(w, http.StatusBadRequest, connector.ErrorDocument{Code: connector.CodeMalformed, Message: err.Error()})
}
