// Package mangocapacity decides which new streams of a split model are admitted while capacity is short.
//
// # Usage
//
// A Tracker measures what this daemon sees, and holds what all daemons together report:
//
//	tracker := mangocapacity.NewTracker()
//	tracker.Arrive("service", "data centre", class, work, now) // once for each request, refused ones included
//	send := tracker.Begin("service", "data centre", work, now)
//	send.FirstEvent(now)
//	send.End(now)
//	report := tracker.Own(now) // for the hub, which adds up reports
//	tracker.SetFleet(total, own, now)
//
// A View joins that with the state of the replicas, and Decide judges a request by it:
//
//	view := tracker.View("service", mangocapacity.Sites(pipelineView), links, now)
//	decision := mangocapacity.Decide(view, request)
//
// A refused caller is told when to come back. It then counts as returning, at all daemons, and its demand is expected before:
//
//	tracker.RecordRefusal(key, now.Add(decision.RetryAfter), now)
//	tracker.ExpectReturn("service", "data centre", class, work, decision.RetryAfter, now)
//	class.Returning = tracker.IsReturning(key, now) // for the next request with this key
//
// Two resources can be short: the memory of the replicas (KV cache, in tokens), and the rate at which they prefill prompts (in
// tokens per second). Prefilling is called reading in names, log fields and messages; room is the demand that a resource can
// take. Decide divides the room among the classes, the most urgent rank first, and admits each request with a probability equal
// to the admitted share of its class. All daemons compute the same shares from the same view, so that together they admit what
// fits without a message for each request.
package mangocapacity
