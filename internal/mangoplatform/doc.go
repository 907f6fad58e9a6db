// Package mangoplatform is a stand-in for the platform's key-value service and host list.
//
// # Usage
//
// A Server is an http.Handler with the platform's protocol and the admin requests for tests:
//
//	server := mangoplatform.New(mangoplatform.WithRates(2000, 300))
//	err := http.ListenAndServe("127.0.0.1:7000", server)
package mangoplatform
