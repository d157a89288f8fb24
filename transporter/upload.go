package transporter

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var errIncompleteUpload = eris.New("body of the request was not written completely")

// upload is the body of a request. net/http closes it when it has written the body or
// failed to.
type upload struct {
	io.ReadCloser
	wholeRead atomic.Bool
	endOnce   sync.Once
	ended     chan struct{}
}

func newUpload(body io.ReadCloser) *upload {
	return &upload{ReadCloser: body, ended: make(chan struct{})}
}

func (u *upload) Read(b []byte) (int, error) {
	n, err := u.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) {
		u.wholeRead.Store(true)
	}
	return n, err
}

// Close ends the upload.
func (u *upload) Close() error {
	err := u.ReadCloser.Close()
	u.endOnce.Do(func() { close(u.ended) })
	return err
}

// complete reports whether the whole body was read for writing. It is valid once the
// upload has ended.
func (u *upload) complete() bool { return u.wholeRead.Load() }

// uploads holds the latest body of a request. net/http obtains another one when it sends
// the request again.
type uploads struct{ latest atomic.Pointer[upload] }

// track replaces the body of a request by one whose end is known.
func (s *uploads) track(r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	r.Body = s.add(r.Body)
	if r.GetBody == nil {
		return
	}
	again := r.GetBody
	r.GetBody = func() (io.ReadCloser, error) {
		body, err := again()
		if err != nil {
			return nil, err
		}
		return s.add(body), nil
	}
}

func (s *uploads) add(body io.ReadCloser) *upload {
	u := newUpload(body)
	s.latest.Store(u)
	return u
}
