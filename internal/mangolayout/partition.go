package mangolayout

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// partitionShare is the share of the holders of layers in a data centre from which their loss looks like a cut between this
	// daemon and the data centre, and cutLeast the least number.
	partitionShare     = 1.0 / 3
	minPartitionLosses = 2
	// partitionHold is the time without a sign of a cut after which a data centre is planned again. The entries of replicas
	// that were cut off come back one after the other within a heartbeat.
	partitionHold = 1500 * time.Millisecond
)

// dataCentreState is how well a data centre is seen.
type dataCentreState struct {
	// holdUntil is the end of the time in which it is not planned.
	holdUntil time.Time
	// needsCheck says that its replicas have to be reached before it is planned again.
	needsCheck bool
	checking   bool
	// partitioned says that the last check did not reach them.
	partitioned bool
}

// partitionDetector knows which data centres are seen in part only. What is missing there is probably served by replicas out of
// sight, and orders to the others would take layers from the requests that they run.
type partitionDetector struct {
	seen   map[mangoreplica.Incarnation]bool
	states map[string]*dataCentreState
}

func newPartitionDetector() *partitionDetector {
	return &partitionDetector{seen: map[mangoreplica.Incarnation]bool{}, states: map[string]*dataCentreState{}}
}

func (c *partitionDetector) state(dataCentre string) *dataCentreState {
	s := c.states[dataCentre]
	if s == nil {
		s = &dataCentreState{}
		c.states[dataCentre] = s
	}
	return s
}

// looksPartitioned reports whether the loss of some of the holders of layers looks like a cut.
func looksPartitioned(missing, holders int) bool {
	return missing >= minPartitionLosses && float64(missing) > partitionShare*float64(holders)
}

// observe takes the replicas of a service; unreachable reports whether one is out of reach for no certain cause.
func (c *partitionDetector) observe(
	replicas []*mangoreplica.Replica, unreachable func(mangoreplica.Incarnation) bool, now time.Time, logger logrus.FieldLogger,
) {
	first := len(c.seen) == 0
	holders, missing, back := map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range replicas {
		i := r.Incarnation()
		known := c.seen[i]
		c.seen[i] = true
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
		cut := looksPartitioned(missing[dataCentre], n)
		if !cut && back[dataCentre] == 0 {
			continue
		}
		s := c.state(dataCentre)
		if !now.Before(s.holdUntil) && !s.needsCheck {
			logger.WithFields(logrus.Fields{
				"event": "data_centre_unclear", "data_centre": dataCentre, "holders": n, "missing": missing[dataCentre], "back": back[dataCentre],
			}).Warn("a data centre is seen in part only; its layers stay where they are")
		}
		s.holdUntil = now.Add(partitionHold)
		s.needsCheck = s.needsCheck || cut
	}
}

// prune drops replicas that left the fleet.
func (c *partitionDetector) prune(fleet *mangoreplica.Fleet) {
	for i := range c.seen {
		if r := fleet.ByID(i.ID); r == nil || r.Born != i.Born {
			delete(c.seen, i)
		}
	}
}

// canPlan reports whether a data centre can be planned.
func (c *partitionDetector) canPlan(dataCentre string, now time.Time) bool {
	s := c.states[dataCentre]
	return s == nil || (!s.needsCheck && !now.Before(s.holdUntil))
}

// startDueChecks returns the data centres whose replicas are to be reached now, and notes that this is done.
func (c *partitionDetector) startDueChecks(now time.Time) []string {
	var due []string
	for dataCentre, s := range c.states {
		if s.needsCheck && !s.checking && !now.Before(s.holdUntil) {
			s.checking = true
			due = append(due, dataCentre)
		}
	}
	return due
}

// recordCheck takes the result of a check. A data centre that could not be reached before is planned a while later, when the
// entries of all its replicas are back.
func (c *partitionDetector) recordCheck(dataCentre string, missing, holders int, now time.Time) {
	s := c.state(dataCentre)
	s.checking = false
	if looksPartitioned(missing, holders) {
		s.partitioned, s.holdUntil = true, now.Add(partitionHold)
		return
	}
	if s.partitioned {
		s.holdUntil = now.Add(partitionHold)
	}
	s.partitioned, s.needsCheck = false, false
}
