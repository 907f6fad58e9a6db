// Package mangogateway serves the callers' HTTP API: completions, streamed or in one body, and calls to plain services. It
// authenticates requests, checks their size and form, passes them to the interfaces Completer and ServiceCaller, and writes
// their results and errors as HTTP answers. Every error states its outcome: whether the call ran.
//
// # Usage
//
//	gateway := mangogateway.New(settings.GetCallers(), authenticator, completer, serviceCaller, logger)
//	listener, err := mangogateway.Listen(ctx, settings.GetCallers())
//	server := gateway.Server()
//	err = server.Serve(listener)
//
// A caller may take the answer to a completion as complete only if it has a finish reason: in the body of an unstreamed
// answer, or in the last event before [DONE] of a streamed one.
package mangogateway
