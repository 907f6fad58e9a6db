// Package mangoservice simulates a plain service, some of whose calls must not run twice, for tests and measurements.
//
// # Usage
//
// A Server is an http.Handler that executes each request that arrives, without deduplication, and counts the executions by
// idempotency key:
//
//	server := mangoservice.New("service-1", mangoservice.WithDelay(20*time.Millisecond))
//	go server.Run(ctx)
//	err := http.ListenAndServe("127.0.0.1:7200", server)
//
// Admin requests control it from another process: GET /admin/executions returns the counts, POST /admin/faults sets the
// faults to inject, and POST /admin/stop starts a graceful stop.
package mangoservice
