// Package mangogateway serves the callers' HTTP API: completions, streamed or whole, and calls to plain services.
// It authenticates and bounds requests, hands them to the interfaces Completer and Caller, and turns their
// results and errors into answers. Every answer that is not a result states its outcome.
//
// # Usage
//
//	gateway := mangogateway.New(settings.GetCallers(), authenticator, completer, caller, logger)
//	listener, err := mangogateway.Listen(ctx, settings.GetCallers())
//	server := gateway.Server()
//	err = server.Serve(listener)
//
// A caller may take an answer as whole only when it ends with a finish reason: in the body of an unstreamed one,
// in the last event before [DONE] of a streamed one.
package mangogateway
