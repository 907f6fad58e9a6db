// Package mangoclient is the client of the operators' and the callers' API of mangopath.
//
// # Usage
//
// Operators read the book, plan changes against it and propose them:
//
//	operators, err := mangoclient.NewOperators([]string{"127.0.0.1:7200"}, token)
//	present, err := operators.Entries(ctx, "")
//	changes := mangoclient.Plan(present, wanted, "anna")
//	reply, err := operators.Propose(ctx, changes, false)
//
// A change keeps its id over all retries, so that it takes effect once even when an answer is lost.
//
// Callers run completions and calls to plain services:
//
//	callers, err := mangoclient.NewCallers("127.0.0.1:7100", key)
//	completion, err := callers.Stream(ctx, request, func(text string) error { ... })
//
// An *Error of a call states by its Outcome whether the call ran.
package mangoclient
