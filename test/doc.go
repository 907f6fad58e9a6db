// Package test holds the integration tests, the benchmark and the soak run, which start the real programs as separate
// processes on loopback.
//
// # Usage
//
//	go test ./test
//	make bench
//	make soak SEEDS=20
package test
