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

// sight is how well a data centre is seen.
type sight struct {
	// until is the end of the time in which it is not planned.
	until time.Time
	// doubted says that its replicas have to be reached before it is planned again.
	doubted  bool
	checking bool
	// cut says that the last check did not reach them.
	cut bool
}

// clarity knows which data centres are seen in part only. What is missing there is probably served by replicas out of
// sight, and orders to the others would take layers from the requests that they run.
type clarity struct {
	known  map[mangoreplica.Incarnation]bool
	sights map[string]*sight
}

func newClarity() *clarity {
	return &clarity{known: map[mangoreplica.Incarnation]bool{}, sights: map[string]*sight{}}
}

func (c *clarity) sight(dataCentre string) *sight {
	s := c.sights[dataCentre]
	if s == nil {
		s = &sight{}
		c.sights[dataCentre] = s
	}
	return s
}

// isCut reports whether the loss of some of the holders of layers looks like a cut.
func isCut(missing, holders int) bool {
	return missing >= cutLeast && float64(missing) > cutShare*float64(holders)
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
		cut := isCut(missing[dataCentre], n)
		if !cut && back[dataCentre] == 0 {
			continue
		}
		s := c.sight(dataCentre)
		if !now.Before(s.until) && !s.doubted {
			logger.WithFields(logrus.Fields{
				"event": "data_centre_unclear", "data_centre": dataCentre, "holders": n, "missing": missing[dataCentre], "back": back[dataCentre],
			}).Warn("a data centre is seen in part only; its layers stay where they are")
		}
		s.until = now.Add(clearAfter)
		s.doubted = s.doubted || cut
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
	s := c.sights[dataCentre]
	return s == nil || (!s.doubted && !now.Before(s.until))
}

// due returns the data centres whose replicas are to be reached now, and notes that this is done.
func (c *clarity) due(now time.Time) []string {
	var due []string
	for dataCentre, s := range c.sights {
		if s.doubted && !s.checking && !now.Before(s.until) {
			s.checking = true
			due = append(due, dataCentre)
		}
	}
	return due
}

// checked takes the result of a check. A data centre that could not be reached before is planned a while later, when the
// entries of all its replicas are back.
func (c *clarity) checked(dataCentre string, missing, holders int, now time.Time) {
	s := c.sight(dataCentre)
	s.checking = false
	if isCut(missing, holders) {
		s.cut, s.until = true, now.Add(clearAfter)
		return
	}
	if s.cut {
		s.until = now.Add(clearAfter)
	}
	s.cut, s.doubted = false, false
}
