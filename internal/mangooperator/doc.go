// Package mangooperator serves the operators' HTTP API of an entry host: health, readiness and metrics without a
// token, and the book, changes, status, history, explanations and hosts with the operators' bearer token.
//
// # Usage
//
//	operators := mangooperator.New(settings.GetOperators(), sources, registry, logger)
//	listener, err := mangooperator.Listen(ctx, settings.GetOperators())
//	err = operators.Server().Serve(listener)
//
// Sources are the small interfaces that the daemon implements. They return an *Error, whose kind decides the
// status; all other errors are internal ones.
package mangooperator
