// Package mangoclient has the clients of the two HTTP APIs of mangopath's entry hosts: Callers for the callers' API, which
// runs completions and calls to plain services, and Operators for the operators' API, which reads and changes the
// configuration.
//
// # Usage
//
// Operators read the entries of the configuration, compute the changes that lead to the wanted entries and propose them:
//
//	operators, err := mangoclient.NewOperators([]string{"127.0.0.1:7200"}, token)
//	present, err := operators.Entries(ctx, "")
//	changes := mangoclient.Plan(present, wanted, "anna")
//	reply, err := operators.Propose(ctx, changes, false)
//
// All retries of a change carry the same id, so that it takes effect once even if an answer is lost.
//
// Callers run completions and calls to plain services:
//
//	callers, err := mangoclient.NewCallers("127.0.0.1:7100", key)
//	completion, err := callers.Stream(ctx, request, func(text string) error { ... })
//
// The Outcome in the *Error of a call says whether the call may have run.
package mangoclient
