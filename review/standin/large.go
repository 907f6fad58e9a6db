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

// playLarge has one replica of three slow, which pauses longer in the middle of a large answer.
func playLarge(ctx context.Context, w *world) ([]string, error) {
	const clients, rounds, size, slowness = 4, 8, 400 << 10, 5
	const pause = 100 * time.Millisecond
	w.configure([]map[string]any{w.route("/list/", "idempotent", "site", 2, 10*time.Second, 100*time.Millisecond)}, "site")
	answer := func(pause time.Duration) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "small") {
				return
			}
			rw.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = io.WriteString(rw, strings.Repeat("x", size*3/4))
			_ = http.NewResponseController(rw).Flush()
			sleep(r.Context(), pause)
			_, _ = io.WriteString(rw, strings.Repeat("x", size/4))
		}
	}
	for i := range 3 {
		p := pause
		if i == 0 && w.trouble {
			p = slowness * pause
		}
		if _, err := w.startReplica(ctx, fmt.Sprintf("i-site-%d", i), "site", answer(p)); err != nil {
			return nil, err
		}
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	together(clients, func(int) {
		for range rounds {
			c, err := connect(ctx, d)
			if err != nil {
				w.note("no connection: %v", err)
				continue
			}
			first := w.exchange(c, http.MethodGet, "/list/small", 10*time.Second)
			o := w.exchange(c, http.MethodGet, "/list/large", 10*time.Second)
			_ = c.Close()
			if first.whole && !o.whole {
				mu.Lock()
				broken = append(broken, "LOST, kept connection closed without a whole answer: "+o.String())
				mu.Unlock()
			}
		}
	})
	if len(broken) <= 3 {
		return nil, nil
	}
	return broken, nil
}
