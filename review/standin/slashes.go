package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// playSlashes sends requests with a path that begins with two slashes.
func playSlashes(ctx context.Context, w *world) ([]string, error) {
	w.configure([]map[string]any{w.route("/", "idempotent", "site", 2, 5*time.Second, 500*time.Millisecond)}, "site")
	site, err := w.startReplica(ctx, "i-site-1", "site", answerAfter(0))
	if err != nil {
		return nil, err
	}
	d, err := w.startDaemon(ctx, "edge-z1-1")
	if err != nil {
		return nil, err
	}
	sent := map[string]string{}
	for _, uri := range []string{"//cats/1?sex=f", "//other.example/cats/1"} {
		if !w.trouble {
			uri = uri[1:]
		}
		c, err := connect(ctx, d)
		if err != nil {
			return nil, err
		}
		sent[w.exchange(c, http.MethodGet, uri, 5*time.Second).id] = uri
		_ = c.Close()
	}
	var broken []string
	for _, a := range site.ran() {
		if a.uri != sent[a.id] || a.host != hostName {
			broken = append(broken, fmt.Sprintf("UNASKED: the client sent %s to Host %s, the replica ran %s of Host %s", sent[a.id], hostName, a.uri, a.host))
		}
	}
	return broken, nil
}
