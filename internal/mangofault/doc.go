// Package mangofault is a TCP proxy that injects network faults between callers and one target: closed and frozen
// connections, delays, limited bandwidth and lost replies.
//
// # Usage
//
//	proxy, err := mangofault.New(ctx, "127.0.0.1:7300", "127.0.0.1:7100")
//	go proxy.Run(ctx)
//	err = proxy.SetFaults(ctx, mangofault.Faults{Freeze: true})
//
// AdminHandler returns an HTTP handler that sets the faults and reports the state.
package mangofault
