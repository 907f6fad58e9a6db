// Package mangosignal catches the signals of a daemon's process: those that stop it and the one that reloads its settings.
//
// # Usage
//
//	signals := mangosignal.Catch()
//	ctx, stop := context.WithCancel(ctx)
//	go func() { ended <- signals.Run(runCtx, stop, reload, mangosignal.WithLogger(logger)) }()
//
// From Catch to the end of the process no caught signal has its default action, which would end the process at once and cut
// all requests. Signals that come before Run are kept, one of each sort.
package mangosignal
