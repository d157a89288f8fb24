package transporter

import "github.com/rotisserie/eris"

// ErrEnd reports a response whose end is that of the connection and may have been caused
// by a reset, because the request could not be written to its end.
var ErrEnd = eris.New("end of the response is not proven")
