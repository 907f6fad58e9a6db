// Package mangolog writes log lines without blocking the goroutines that log.
//
// # Usage
//
//	writer := mangolog.New(os.Stdout)
//	go func() { ended <- writer.Run(ctx) }()
//	logger.SetOutput(writer)
//
// Lines that find the buffer full are dropped; a line of their own says how many.
package mangolog
