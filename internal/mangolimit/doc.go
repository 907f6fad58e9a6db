// Package mangolimit keeps the requests that all daemons together send to a replica below the limit that it names.
//
// Daemons ask nobody before they send. Each knows the demand of all, the requests a second of the service, and lets a share of
// its requests go to a replica that is the limit divided by that demand. So the parts of the daemons follow their demand by
// themselves, and their sum is the limit. What a daemon knows of the others is up to two seconds old; a bound on its own sends by
// its usual part of the demand covers a burst that all daemons see at the same time.
//
// # Usage
//
// What replicas name, to this daemon or to others, is recorded, and each send is counted as demand before it is made:
//
//	limiter := mangolimit.New(health)
//	limiter.Record(mangolimit.Limit{Replica: replica, Service: service, Named: true, PerSecond: 10, At: now})
//	draw := limiter.Draw(service, now)
//	if draw.Allows(replica) {
//		limiter.CountSend(replica, now)
//		// send the request
//	}
//
// The demand of this daemon is to be reported to the others with its load:
//
//	loads = limiter.AddDemand(loads, now)
package mangolimit
