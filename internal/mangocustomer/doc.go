// Package mangocustomer divides capacity and rates among customers.
//
// # Usage
//
// A call passes the limiter and the queue, in this order:
//
//	err := limiter.Allow(customer, time.Now())
//	release, err := queue.Acquire(ctx, mangocustomer.Request{Customer: customer.GetName(), Profile: "tekst"})
//	defer release()
//
// Refusals are of type *mangocall.Error with outcome NotRun: the call was never dispatched.
package mangocustomer
