package mangobroadcast

import (
	"mangopath.org/mangopath/internal/mangolayout"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangoreplica"
)

// OnStateUpdate sets the functions that receive the revisions of the store and the layers of replicas that other daemons
// announce. It must be called before Run, and the functions must not block.
func (br *Broadcaster) OnStateUpdate(onRevision func(revision uint64), onLayers func(r mangoreplica.LayerReport)) {
	br.onRevision, br.onLayers = onRevision, onLayers
}

// OnOutage sets the function that checks a replica after another daemon announced its outage. It must be called before Run,
// and the function must not block.
func (br *Broadcaster) OnOutage(onOutage func(r *mangoreplica.Replica)) { br.onOutage = onOutage }

// OnClaim sets the function that receives the claims of other daemons. It must be called before Run, and the function must
// not block.
func (br *Broadcaster) OnClaim(onClaim func(from string, c Claim)) { br.onClaim = onClaim }

// OnOrder sets the function that receives the orders that other daemons gave to replicas. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnOrder(onOrder func(o mangolayout.GivenOrder)) { br.onOrder = onOrder }

// OnPace sets the function that receives the paces of replicas that other daemons asked. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnPace(onPace func(p mangoreplica.Pace, from string)) { br.onPace = onPace }

// OnLoads sets the function that receives the loads that followers and other hubs put on replicas. It must be called before
// Run, and the function must not block.
func (br *Broadcaster) OnLoads(onLoads func(from string, l LoadReport)) { br.onLoads = onLoads }

// OnSuspects sets the function that is called after the crash tracker has got suspicions of other daemons. It must be called
// before Run, and the function must not block.
func (br *Broadcaster) OnSuspects(onSuspects func()) { br.onSuspects = onSuspects }

// OnRateLimit sets the function that receives the limits that replicas named to other daemons. It must be called before Run, and
// the function must not block.
func (br *Broadcaster) OnRateLimit(onLimit func(l mangolimit.Limit, from string)) {
	br.onLimit = onLimit
}

// OnPublish sets what sends announcements to the followers of this daemon. It must be called before Run.
func (br *Broadcaster) OnPublish(p Publisher) { br.followers = p }
