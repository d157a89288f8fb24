package imitator

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes the record of a run: what was sent, answered and run, with the time
// since the start in seconds. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecorder returns a recorder that writes to a new file.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Recorder{file: f, start: time.Now()}, nil
}

// Now returns the time since the start of the record.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Printf adds a line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // Close reports a full disk
}

// Close closes the file.
func (r *Recorder) Close() error {
	if err := r.file.Close(); err != nil {
		return fmt.Errorf("close record: %w", err)
	}
	return nil
}
