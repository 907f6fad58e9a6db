// Package mangofault is a TCP proxy that injects network faults.
//
// # Usage
//
//	proxy, err := mangofault.New(ctx, "127.0.0.1:7300", "127.0.0.1:7100")
//	go proxy.Run(ctx)
//	err = proxy.Set(ctx, mangofault.Faults{Freeze: true})
//
// Admin serves the same over HTTP.
package mangofault
