package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that a replica ran.
type run struct {
	Request, Replica, Method, Target string
	Body                             int
	At                               time.Time
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	runs  map[string][]run
}

// newRecord returns a record that is written to a file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file, runs: map[string][]run{}}, nil
}

// note writes a line with the time since the begin.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, values...)...)
}

// ran records a run.
func (r *record) ran(x run) {
	r.mu.Lock()
	r.runs[x.Request] = append(r.runs[x.Request], x)
	r.mu.Unlock()
	r.note("run      %s by %s: %s %s, body of %d bytes", x.Request, x.Replica, x.Method, x.Target, x.Body)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}
