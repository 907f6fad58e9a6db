// Package mangohost holds what an entry host knows about all hosts: from the platform's list, the operators' drain marks,
// the upstreams' own reports and the outcomes of calls.
//
// # Usage
//
// A directory is immutable; each change returns a new one:
//
//	directory = directory.WithList(list, now).WithMarks(book.Draining)
//	host, ok := directory.Host("gpu-17")
//	usable := host.State(now) == mangohost.StateLive
//
// The most restrictive source decides the state of a host. A Meter counts the calls in flight on each host and averages
// the times of its decode steps; all traffic goroutines share it.
package mangohost
