package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) addAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since(t), fmt.Sprintf(format, args...))
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }
