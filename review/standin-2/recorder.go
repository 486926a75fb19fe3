package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) log(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s: %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}
