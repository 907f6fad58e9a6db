// Package mangoplatform is a test stand-in for the platform's key-value service and host list.
//
// Keys are written by compare-and-swap and can be attached to leases. Admin requests inject faults, change the host list,
// save and restore a snapshot of the keys and return the number of calls.
//
// # Usage
//
// A Server is an http.Handler for the platform's protocol and the admin requests:
//
//	server := mangoplatform.New(mangoplatform.WithRates(2000, 300))
//	err := http.ListenAndServe("127.0.0.1:7000", server)
package mangoplatform
