// Package mangoroute holds one version of the operator's configuration and matches requests against its routes.
//
// # Usage
//
// A Table is immutable; a change of the configuration makes a new one:
//
//	table := mangoroute.New(version, routes, services, customers, keyRequired, limits)
//	route, ok := table.Match("host.example", "/prefix/path")
//	customer, ok := table.Customer(key)
package mangoroute
