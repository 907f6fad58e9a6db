// Package mangoengine is a stand-in for a model engine that holds a range of layers.
//
// # Usage
//
// An Engine is an http.Handler with the engine protocol; Run is its batching loop:
//
//	engine := mangoengine.New("engine-1", placed, mangoengine.WithStepTime(5*time.Millisecond))
//	go engine.Run(ctx)
//	err := http.ListenAndServe("127.0.0.1:7100", engine)
//
// Model.Answer computes what a fault-free chain of engines answers, for comparison.
package mangoengine
