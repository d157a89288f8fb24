package transporter

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of responses that prove nothing.
var (
	// ErrEnd reports a response whose end is that of the connection and may have been
	// caused by a reset, because the request could not be written to its end.
	ErrEnd = eris.New("end of the response is not proven")
	// ErrStatus reports a status that HTTP does not have.
	ErrStatus = eris.New("status of the response is invalid")
)

// Bounds of the statuses of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if a head of a response, which may be an interim one, is
// malformed. net/http accepts each status of three digits.
func CheckHead(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: %03d is not from %d to %d", ErrStatus, status, minStatus, maxStatus)
	}
	return nil
}
