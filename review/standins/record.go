package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to record.txt, one line an event.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Now returns the seconds since the start of the case.
func (r *Record) Now() float64 { return time.Since(r.start).Seconds() }

func (r *Record) Log(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
	r.out.Flush()
}

func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
