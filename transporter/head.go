package transporter

import (
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// Errors of responses that prove nothing.
var (
	// ErrEnd reports a response whose end is that of the connection and may have been
	// caused by a reset, because the request could not be written to its end.
	ErrEnd = eris.New("end of the response is not proven")
	// ErrStatus reports a status that HTTP does not have.
	ErrStatus = eris.New("status of the response is invalid")
	// ErrField reports a malformed field in a head or a trailer.
	ErrField = eris.New("field of the response is malformed")
)

// Bounds of the statuses of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// maxNameInError is the length up to which an error contains a malformed field name, in bytes.
const maxNameInError = 64

// CheckHead returns an error if a head of a response, which may be an interim one, is
// malformed. net/http accepts each status of three digits.
func CheckHead(status int, fields http.Header) error {
	switch {
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("%w: %03d is not from %d to %d", ErrStatus, status, minStatus, maxStatus)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: %d, and the request did not ask for another protocol", ErrStatus, status)
	}
	return CheckFields(fields)
}

// CheckFields returns an error if the name of a field of a head or a trailer is malformed.
// net/http accepts blanks in names and passes over the field, which another reader may take
// for the length of the body. Fields without values are those that a head announces for
// its trailer, which may lack them.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name %q is not a token", ErrField, name[:min(len(name), maxNameInError)])
		}
	}
	return nil
}
