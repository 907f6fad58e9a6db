// Package mangonaive is a router without any care for failures or load, to compare mangopath with.
//
// It takes replicas in turn, waits a fixed time for each step, retries blindly and checks nothing.
//
// # Usage
//
//	settings, err := mangonaive.ReadSettings("replicas.json")
//	err = http.ListenAndServe("127.0.0.1:8000", mangonaive.New(settings))
package mangonaive
