package emulator

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/dragonflyford/dragonflyford/connector"
)

// ServiceHandler serves a plain service over HTTP. Every path except that of
// revocations is an operation.
func ServiceHandler(s *Service) http.Handler {
	router := mux.NewRouter().SkipClean(true)
	h := &serviceHandler{service: s}
	router.HandleFunc("/fencing/revocations", h.revoke).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(h.call)
	return router
}

type serviceHandler struct {
	service *Service
}

func (h *serviceHandler) call(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeEndpointMalformed(w, err)
		return
	}
	op := connector.NewOperation(r.Header.Get(connector.HeaderAttempt), r.Header.Get(connector.HeaderOperation),
		r.Method, r.URL.RequestURI(), body)
	reply, err := h.service.Call(r.Context(), op)
	if err != nil {
		writeEndpointError(w, err)
		return
	}
	w.Header().Set(connector.HeaderAttempt, reply.Attempt())
	writeBody(w, reply.Status(), reply.ContentType(), reply.Body())
}

func (h *serviceHandler) revoke(w http.ResponseWriter, r *http.Request) {
	doc, err := readDocument[connector.RevokeDocument](w, r)
	if err != nil {
		writeEndpointMalformed(w, err)
		return
	}
	ran, err := h.service.Revoke(r.Context(), doc.Operation)
	if err != nil {
		writeEndpointError(w, err)
		return
	}
	writeDocument(w, http.StatusOK, connector.RevokedDocument{Ran: ran})
}
