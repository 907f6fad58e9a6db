// Package mangolog buffers log lines, so that a slow destination does not block the goroutines that log.
//
// # Usage
//
//	writer := mangolog.New(os.Stdout)
//	go func() { ended <- writer.Run(ctx) }()
//	logger.SetOutput(writer)
//
// Lines that do not fit into the buffer are dropped; a later line says how many.
package mangolog
