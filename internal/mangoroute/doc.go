// Package mangoroute holds a version of the operator's configuration and matches requests against it.
//
// # Usage
//
// A Table is immutable; the control goroutine replaces it as a whole:
//
//	table := mangoroute.New(version, routes, services, customers, limits)
//	route, ok := table.Match("host.example", "/prefix/path")
//	customer, ok := table.Customer(key)
package mangoroute
