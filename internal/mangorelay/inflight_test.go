package mangorelay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// Guards against a request whose path was changed that is not suspected of the crash because of which it was, is suspected of a
// later crash of a replica that it had left, or is not woken and suspected on its new replica. The parts of its prompt stay
// suspected on its first replica only.
func TestMovedRequestIsSuspectedWhereItRan(t *testing.T) {
	first, old, replacement := mangoreplica.Incarnation{ID: "first"}, mangoreplica.Incarnation{ID: "old"}, mangoreplica.Incarnation{ID: "new"}
	whole := mangocrash.InFlight{Request: mangocrash.Request{Fingerprint: "f"}}
	tests := []struct {
		name    string
		replica mangoreplica.Incarnation
		after   time.Duration
		want    []mangocrash.InFlight
	}{
		{"the crash is found a moment after the move", old, lostRetention, []mangocrash.InFlight{whole}},
		{"a later crash of the replica that it left", old, lostRetention + time.Millisecond, nil},
		{"a crash of another start of that replica", mangoreplica.Incarnation{ID: "old", Born: 1}, 0, nil},
		{"a crash of its new replica", replacement, time.Minute, []mangocrash.InFlight{whole}},
		{"a crash of its first replica", first, time.Minute, []mangocrash.InFlight{{Request: mangocrash.Request{Fingerprint: "f", Parts: []string{"p"}}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			index, now, woken := newInFlightIndex(), time.Now(), 0
			f := &inFlightRequest{identity: mangocrash.Request{Fingerprint: "f", Parts: []string{"p"}}, first: first, wake: func() { woken++ }}
			index.add(f, []mangoreplica.Incarnation{first, old})
			remove := index.move(f, []mangoreplica.Incarnation{first, old}, []mangoreplica.Incarnation{first, replacement}, now)
			is.Equal(index.candidates(tt.replica, now.Add(tt.after)), tt.want)
			index.wakeAll(old)
			is.Equal(woken, 0)
			index.wakeAll(replacement)
			is.Equal(woken, 1)
			remove()
			is.Equal(len(index.byReplica), 0)
		})
	}
}

// Guards against a request whose path was changed that goes on counting in the load of the replica that it left, or does not
// count at its new one.
func TestMovedRequestLoadsItsNewReplicas(t *testing.T) {
	is := is.New(t)
	c := newStreamCall(mangoreplica.NewHealthTracker())
	c.service = &mangoroute.Service{Engine: &mangoroute.Engine{}}
	tracking := c.trackInFlight(chainTarget("r", "s"), func() {})
	tracking.move(chainTarget("r", "u"))
	loads := c.relay.health.OwnLoads()
	is.Equal(len(loads), 2)
	is.Equal(loads["r"].Requests, 1)
	is.Equal(loads["u"].Requests, 1)
	tracking.end()
	is.Equal(len(c.relay.health.OwnLoads()), 0)
	is.Equal(len(c.relay.inFlight.byReplica), 0)
}
