package simulator

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to a file, a line each, with the seconds
// since its creation. It is safe for concurrent use.
type Recorder struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// NewRecorder returns a recorder that writes to a new file.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Recorder{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Now returns the time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// Printf writes a line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is complete only if Close reports no error.
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// Close writes what is left to the file.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	if err := r.file.Close(); err != nil {
		return fmt.Errorf("close record: %w", err)
	}
	return nil
}
