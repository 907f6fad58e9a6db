// Package mangomemory bounds the bytes that all requests of a process keep together.
//
// # Usage
//
//	pool := mangomemory.New(48 << 20)
//	account := pool.Open()
//	defer account.Close()
//	if !account.Hold(int64(len(buffer))) { ... }
//
// A request that gets no more memory goes on without it: it passes bytes on instead of keeping them, or is refused. So bytes
// without end on some connections do not take the memory that the others need.
package mangomemory
