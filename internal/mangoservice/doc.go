// Package mangoservice is a stand-in for a plain service, some of whose calls must not run twice.
//
// # Usage
//
// A Server is an http.Handler that runs any request once per arrival and counts the executions by idempotency key:
//
//	server := mangoservice.New("service-1", mangoservice.WithDelay(20*time.Millisecond))
//	go server.Run(ctx)
//	err := http.ListenAndServe("127.0.0.1:7200", server)
package mangoservice
