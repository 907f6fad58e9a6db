package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// caseTime bounds the time of a case.
const caseTime = 110 * time.Second

// world has the stand-ins of a case and its record.
type world struct {
	names names
	store *store
	// folder is a temporary folder for settings and logs.
	folder string
	// trouble says that the disruption takes place.
	trouble bool
	version int
	ids     atomic.Int64
	began   time.Time

	mu     sync.Mutex
	record *os.File
	// daemons are all that were started.
	daemons []*daemon
}

// note writes a line with the time since the start into the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A record that cannot be written changes nothing in the result.
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// nextID returns a new id of a client's attempt.
func (w *world) nextID() string { return fmt.Sprintf("a%06d", w.ids.Add(1)) }

// sleep waits for a duration; it reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(name, folder string) int {
	run, ok := cases()[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTime)
	defer cancel()
	w, err := newWorld(ctx, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(w.folder) }()
	broken, err := run(ctx, w)
	if err == nil {
		// An error means that the case was stopped or took too long.
		err = ctx.Err()
	}
	// The end of the context kills the daemons that still run.
	cancel()
	for _, d := range w.daemons {
		<-d.ended
	}
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	case len(broken) > 0:
		w.note("the rule was broken:")
		fmt.Println("the rule was broken:")
		for _, b := range broken {
			w.note("  %s", b)
			fmt.Println(" ", b)
		}
		return ruleBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

func newWorld(ctx context.Context, folder string) (*world, error) {
	n, err := loadNames()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{names: n, folder: temporary, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	w.note("disruption: %t", w.trouble)
	w.store, err = startStore(ctx, n)
	return w, err
}
