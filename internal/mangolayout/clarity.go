package mangolayout

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// cutShare is the share of the holders of layers in a data centre from which their loss looks like a cut between this
	// daemon and the data centre, and cutLeast the least number.
	cutShare = 1.0 / 3
	cutLeast = 2
	// clearAfter is the time without a sign of a cut after which a data centre is planned again. The entries of replicas
	// that were cut off come back one after the other within a heartbeat.
	clearAfter = 1500 * time.Millisecond
)

// clarity knows which data centres are seen in part only. What is missing there is probably served by replicas out of
// sight, and orders to the others would take layers from the requests that they run.
type clarity struct {
	known map[mangoreplica.Incarnation]bool
	until map[string]time.Time
}

func newClarity() *clarity {
	return &clarity{known: map[mangoreplica.Incarnation]bool{}, until: map[string]time.Time{}}
}

// look takes the replicas of a service; unreachable reports whether one is out of reach for no certain cause.
func (c *clarity) look(
	replicas []*mangoreplica.Replica, unreachable func(mangoreplica.Incarnation) bool, now time.Time, logger logrus.FieldLogger,
) {
	first := len(c.known) == 0
	holders, missing, back := map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range replicas {
		i := r.Incarnation()
		known := c.known[i]
		c.known[i] = true
		if r.Draining || r.Layers.Len() == 0 {
			continue
		}
		holders[r.DataCentre]++
		if unreachable(i) {
			missing[r.DataCentre]++
		}
		if !known && !first {
			// A new replica is empty; one that appears with layers was out of sight.
			back[r.DataCentre]++
		}
	}
	for dataCentre, n := range holders {
		cut := missing[dataCentre] >= cutLeast && float64(missing[dataCentre]) > cutShare*float64(n)
		if !cut && back[dataCentre] == 0 {
			continue
		}
		if !now.Before(c.until[dataCentre]) {
			logger.WithFields(logrus.Fields{
				"event": "data_centre_unclear", "data_centre": dataCentre, "holders": n, "missing": missing[dataCentre], "back": back[dataCentre],
			}).Warn("a data centre is seen in part only; its layers stay where they are")
		}
		c.until[dataCentre] = now.Add(clearAfter)
	}
}

// forget drops replicas that left the fleet.
func (c *clarity) forget(fleet *mangoreplica.Fleet) {
	for i := range c.known {
		if r := fleet.ByID(i.ID); r == nil || r.Born != i.Born {
			delete(c.known, i)
		}
	}
}

// clear reports whether a data centre can be planned.
func (c *clarity) clear(dataCentre string, now time.Time) bool {
	return !now.Before(c.until[dataCentre])
}
