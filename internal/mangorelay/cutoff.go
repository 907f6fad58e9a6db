package mangorelay

import "time"

// cutOffPenalty is the cost that a data centre has while it is cut off. It exceeds all other costs, and shows the cut in explanations.
const cutOffPenalty = time.Hour

// LinkWatcher knows which data centres are cut off from this daemon. Its methods never block.
type LinkWatcher interface {
	// CutOff reports whether a data centre counts as cut off.
	CutOff(dataCentre string) bool
	// EventPassed records that an event or the head of an answer of a replica in a data centre has arrived.
	EventPassed(dataCentre string)
	// Connected records the time that a connection to a replica in a data centre took.
	Connected(dataCentre string, took time.Duration)
}

// WithLinkWatcher sets the LinkWatcher. Without one no data centre counts as cut off.
func WithLinkWatcher(w LinkWatcher) Option { return func(r *Relay) { r.links = w } }

// leavesCutOff reports whether the send is given up because the data centre of its chain is cut off and the request can go to another
// one. It is called when the silence exceeds the soft limit, and during a repair, since the order of a repair cannot arrive there.
func (l *silenceLimiter) leavesCutOff() bool {
	if len(l.target.stages) == 0 || !l.call.relay.links.CutOff(l.target.dataCentre) {
		return false
	}
	now := time.Now()
	next, ok := l.call.targetAfter(l.target)
	return ok && !l.call.relay.links.CutOff(next.dataCentre) && l.hasAlternative(now)
}

// LeaveCutOff wakes the requests in flight in a data centre that was found cut off. Those that are silent for longer than their soft
// limit leave it. It never blocks.
func (r *Relay) LeaveCutOff(dataCentre string) {
	fleet := r.state.View().Fleet
	r.inFlight.wakeWhere(func(id string) bool {
		replica := fleet.ByID(id)
		return replica != nil && replica.DataCentre == dataCentre
	})
}

type noLinkWatcher struct{}

func (noLinkWatcher) CutOff(string) bool { return false }

func (noLinkWatcher) EventPassed(string) {}

func (noLinkWatcher) Connected(string, time.Duration) {}
