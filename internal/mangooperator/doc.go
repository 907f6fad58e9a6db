// Package mangooperator serves the operators' HTTP API of an entry host: health, readiness and metrics without a
// token; the entries of the configuration book, changes of it, status, history, route explanations and the host
// directory with the operators' bearer token.
//
// # Usage
//
//	api := mangooperator.New(settings.GetOperators(), dependencies, registry, logger)
//	listener, err := mangooperator.Listen(ctx, settings.GetOperators())
//	err = api.Server().Serve(listener)
//
// Dependencies are small interfaces that the daemon implements. They return an *Error, whose kind decides the HTTP
// status; any other error is answered as an internal one.
package mangooperator
