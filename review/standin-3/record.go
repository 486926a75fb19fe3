package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the milliseconds since it
// was opened. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		file:  file,
		began: time.Now(),
	}, nil
}

// Line writes a line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8d "+format+"\n", append([]any{time.Since(r.began).Milliseconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
