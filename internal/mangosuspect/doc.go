// Package mangosuspect finds requests that crash upstreams.
//
// # Usage
//
// Each daemon reports the fingerprints of its own calls aboard a crashed host and merges what its peers report:
//
//	suspects.Report(mangosuspect.NewCrashID(host), aboard, now)
//	suspects.Merge(reply.GetSuspicions(), now)
//
// A call is checked before each attempt; a suspect needs a host of its own among suspects:
//
//	if suspects.Check(fingerprint, now) == mangosuspect.Suspect && !suspects.Acquire(fingerprint, host, now) {
//		// another host or later
//	}
//
// A fingerprint is condemned when it is the only one that all its crashes have in common and there are at least two.
// The reports of all daemons decide together, so a second crash counts only after the settling time, and until then the
// call is held. Two upstreams are lost at most if the reply for a crashed call waits until peers know of the crash.
package mangosuspect
