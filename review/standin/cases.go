package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playCase plays a case and returns what broke its rule; empty if nothing did.
type playCase func(ctx context.Context, w *world) (broken []string, err error)

// cases returns the cases by name.
func cases() map[string]playCase {
	return map[string]playCase{
		"reload": playReload, "close": playClose, "late": playLate, "slashes": playSlashes, "drain": playDrain, "odd": playOdd,
	}
}

// answerStream returns a handler that sends a number of events with a pause between them.
func answerStream(events int, gap time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= events && r.Context().Err() == nil; n++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: word-%d\n\n", n, n)
			_ = http.NewResponseController(rw).Flush()
			sleep(r.Context(), gap)
		}
	}
}

// answerAfter returns a handler that works for a time and then answers.
func answerAfter(work time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		if sleep(r.Context(), work) {
			_, _ = io.WriteString(rw, strings.Repeat("x", 800))
		}
	}
}

// together runs a function n times at once and waits for all.
func together(n int, f func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { f(i) })
	}
	group.Wait()
}
