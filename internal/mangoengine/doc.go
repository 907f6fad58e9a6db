// Package mangoengine is a test stand-in for an inference engine that serves a range of a model's layers.
//
// It speaks the engine protocol with streams, load reports, cache events and orders. A deterministic hash function takes
// the place of the neural network, so that a skipped, repeated or reordered layer or position changes the tokens.
//
// # Usage
//
// An Engine is an http.Handler for the engine protocol; Run executes its batches and background loops:
//
//	engine := mangoengine.New("engine-1", layers, mangoengine.WithStepTime(5*time.Millisecond))
//	go engine.Run(ctx)
//	err := http.ListenAndServe("127.0.0.1:7100", engine)
//
// Model.Complete computes the completion that a fault-free chain of engines returns, for comparison in tests.
package mangoengine
