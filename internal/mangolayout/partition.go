package mangolayout

import (
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

const (
	// A loss of more than partitionShare of the holders of layers in a data centre, and of at least minPartitionLosses,
	// looks like a network partition between this daemon and the data centre.
	partitionShare     = 1.0 / 3
	minPartitionLosses = 2
	// partitionHold is the time without a sign of a partition after which a data centre is planned again. After a
	// partition, the entries of the replicas come back one after the other within a heartbeat.
	partitionHold = 1500 * time.Millisecond
)

// dataCentreState is what is known of a partition between this daemon and a data centre.
type dataCentreState struct {
	// holdUntil is the time before which the data centre is not planned.
	holdUntil time.Time
	// needsCheck means that the replicas have to be connected to before the data centre is planned again.
	needsCheck bool
	checking   bool
	// partitioned means that the last check found too many of the replicas unreachable.
	partitioned bool
}

// partitionDetector finds the data centres that this daemon sees only in part. Replicas that it does not see probably serve
// the layers that seem to be missing, and orders to the others would take layers away from running requests.
type partitionDetector struct {
	seen   map[mangoreplica.Incarnation]bool
	states map[string]*dataCentreState
}

func newPartitionDetector() *partitionDetector {
	return &partitionDetector{seen: map[mangoreplica.Incarnation]bool{}, states: map[string]*dataCentreState{}}
}

// state returns the state of a data centre, which it adds if there is none.
func (d *partitionDetector) state(dataCentre string) *dataCentreState {
	s := d.states[dataCentre]
	if s == nil {
		s = &dataCentreState{}
		d.states[dataCentre] = s
	}
	return s
}

// looksPartitioned reports whether the loss of some of the holders of layers looks like a partition.
func looksPartitioned(missing, holders int) bool {
	return missing >= minPartitionLosses && float64(missing) > partitionShare*float64(holders)
}

// observe looks for signs of a partition among the replicas of a service: many holders of layers that seem lost, or
// replicas that appear with layers. The function unreachable reports whether a replica seems lost for a cause that is not
// certain.
func (d *partitionDetector) observe(
	replicas []*mangoreplica.Replica, unreachable func(mangoreplica.Incarnation) bool, now time.Time, logger logrus.FieldLogger,
) {
	first := len(d.seen) == 0
	holders, missing, back := map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range replicas {
		i := r.Incarnation()
		seen := d.seen[i]
		d.seen[i] = true
		if r.Draining || r.Layers.Len() == 0 {
			continue
		}
		holders[r.DataCentre]++
		if unreachable(i) {
			missing[r.DataCentre]++
		}
		if !seen && !first {
			// A new replica holds no layers, so one that appears with layers ran before and was not visible here.
			back[r.DataCentre]++
		}
	}
	for dataCentre, n := range holders {
		partitioned := looksPartitioned(missing[dataCentre], n)
		if !partitioned && back[dataCentre] == 0 {
			continue
		}
		s := d.state(dataCentre)
		if !now.Before(s.holdUntil) && !s.needsCheck {
			logger.WithFields(logrus.Fields{
				"event": "data_centre_unclear", "data_centre": dataCentre, "holders": n, "missing": missing[dataCentre], "back": back[dataCentre],
			}).Warn("only a part of a data centre is visible, so its replicas keep their layers")
		}
		s.holdUntil = now.Add(partitionHold)
		s.needsCheck = s.needsCheck || partitioned
	}
}

// prune drops replicas that left the fleet.
func (d *partitionDetector) prune(fleet *mangoreplica.Fleet) {
	for i := range d.seen {
		if r := fleet.ByID(i.ID); r == nil || r.Born != i.Born {
			delete(d.seen, i)
		}
	}
}

// canPlan reports whether a data centre shows no sign of a partition and may be planned.
func (d *partitionDetector) canPlan(dataCentre string, now time.Time) bool {
	s := d.states[dataCentre]
	return s == nil || (!s.needsCheck && !now.Before(s.holdUntil))
}

// startDueChecks returns the data centres whose replicas have to be connected to now, and marks them as being checked.
func (d *partitionDetector) startDueChecks(now time.Time) []string {
	var due []string
	for dataCentre, s := range d.states {
		if s.needsCheck && !s.checking && !now.Before(s.holdUntil) {
			s.checking = true
			due = append(due, dataCentre)
		}
	}
	return due
}

// recordCheck takes the result of a check. If the check before found a partition, the data centre is planned partitionHold
// later, when the entries of all its replicas are back.
func (d *partitionDetector) recordCheck(dataCentre string, missing, holders int, now time.Time) {
	s := d.state(dataCentre)
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
