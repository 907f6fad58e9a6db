// Package mangocrash identifies requests that crash the upstreams that run them, so that they can be refused.
//
// # Usage
//
// When a host crashes, each daemon reports the fingerprints of its own calls that were in flight there. It also merges the
// reports of its peers:
//
//	tracker.Report(mangocrash.NewCrashID(host), fingerprints, now)
//	tracker.Merge(reply.GetSuspicions(), now)
//
// A call is checked before each attempt. A suspect may only run on a host where no other suspect runs:
//
//	if tracker.Check(fingerprint, now) == mangocrash.Suspect && !tracker.Acquire(fingerprint, host, now) {
//		// try another host, or try again later
//	}
//
// What a request shares with others may be guilty as well. Requests with parts are reported and checked as a whole:
//
//	tracker.ReportInFlight(mangocrash.NewGroupCrashID(dataCentre, start), inFlight, now)
//	if refusal, refused, isTrial := tracker.Admit(request, now); refused {
//		// refuse it, and say when to come back by refusal.RetryAfter
//	}
//	tracker.Begin(request.Parts, now) // an answer has begun safely
//
// A fingerprint is blocked when it was in flight in at least two crashes and no other fingerprint was in flight in all of
// them. The decision needs the reports of all daemons, so a second crash counts only after the settle time; the call is held
// until then. At most two upstreams are lost to a request if the reply for a crashed call waits until the peers know of the
// crash.
package mangocrash
