// Package mangocustomer limits the call rate of customers across all daemons and divides the slots of upstreams among them.
// The Limiter enforces the rates; the Queue grants slots by start-time fair queueing, weighted by customer.
//
// # Usage
//
// A call passes the limiter first and then the queue, which has one set of slots for each pool of replicas:
//
//	err := limiter.Allow(customer, time.Now())
//	release, err := queue.Acquire(ctx, mangocustomer.Request{Customer: customer.GetName(), Pool: "tekst@1"})
//	defer release()
//
// Refusals are of type *mangocall.Error with outcome NotRun: the call was never dispatched.
package mangocustomer
