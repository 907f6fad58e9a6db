// Package mangonaive is a router that ignores the health and the load of replicas. Benchmarks use it as the baseline for
// mangopath.
//
// It selects replicas in turn (round robin), waits a fixed time for each step, retries after any failure whether or not the
// call has run, and checks no answers.
//
// # Usage
//
//	settings, err := mangonaive.ReadSettings("replicas.json")
//	err = http.ListenAndServe("127.0.0.1:8000", mangonaive.New(settings))
package mangonaive
