package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leaverReplicas is the number of replicas, of which one leaves in each round: a share of a seventh.
	leaverReplicas = 7
	// cutRounds is the number of cuts, and cutTime the length of each.
	cutRounds = 9
	cutTime   = 5 * time.Second
	// leaveBeforeEnd is how long before the end of a cut a replica leaves. It goes on serving for servesAfterLeaving.
	leaveBeforeEnd     = time.Second
	servesAfterLeaving = 6 * time.Second
	// settleTime is the time before each cut in which the daemons learn of the replicas.
	settleTime = 1500 * time.Millisecond
	// contactTime is the time without disruption after which a machine is in touch, and drainTime that in which it has to stop using a
	// replica that has left. measureMargin is added to both, for the errors of measurement.
	contactTime   = 3 * time.Second
	drainTime     = 2 * time.Second
	measureMargin = 100 * time.Millisecond
	// leaverClients is the number of clients, and leaverPause the pause of a client between two bookings.
	leaverClients = 8
	leaverPause   = 10 * time.Millisecond
)

// playLeftReplica cuts the data centre of the daemons off from the store and the replicas. Shortly before the end of the cut a replica
// leaves. Machines that are in touch again must not send it bookings later than drainTime after that.
func playLeftReplica(d *deployment, trouble bool) (bool, error) {
	if err := d.addReplicas(leaverReplicas); err != nil {
		return false, err
	}
	d.sameDataCentre = true
	if err := d.addDaemons(2); err != nil {
		return false, err
	}
	for round := range cutRounds {
		time.Sleep(settleTime)
		late, err := playCut(d, round, trouble)
		if err != nil {
			return false, err
		}
		fmt.Println("round", round, "bookings that reached the replica too late:", late)
		if late > 0 {
			return true, nil
		}
	}
	return false, nil
}

// playCut plays one cut and the bookings during and after it, and returns how many reached the replica that left too late.
func playCut(d *deployment, round int, trouble bool) (int, error) {
	leaver := d.replicas[len(d.replicas)-1]
	var stop atomic.Bool
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var group sync.WaitGroup
	for client := range leaverClients {
		group.Go(func() {
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("l%d-%d-%d", round, client, n)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				book(d, id, d.daemons[client%len(d.daemons)].front)
				time.Sleep(leaverPause)
			}
		})
	}
	cutEnded := make(chan error, 1)
	begun := time.Now()
	d.record.note("cut      begins, trouble %v", trouble)
	go func() {
		if !trouble {
			time.Sleep(cutTime)
			cutEnded <- nil
			return
		}
		cutEnded <- d.gate.cut(cutTime)
	}()
	time.Sleep(time.Until(begun.Add(cutTime - leaveBeforeEnd)))
	left := leaver.leave()
	d.record.note("left     %s has removed its entry", leaver.id)
	err := <-cutEnded
	inTouch := time.Now().Add(contactTime)
	d.record.note("cut      has ended")
	time.Sleep(time.Until(left.Add(servesAfterLeaving)))
	stop.Store(true)
	group.Wait()
	leaver.end()
	late := 0
	for id, at := range sentAt {
		for _, r := range d.record.runsOf(id) {
			if r.Replica == leaver.id && at.After(inTouch.Add(measureMargin)) && r.At.After(left.Add(drainTime+measureMargin)) {
				late++
				d.record.note("late     %s reached %s %d ms after it had left, %d ms after the end of the cut", id, leaver.id,
					r.At.Sub(left).Milliseconds(), r.At.Sub(inTouch.Add(-contactTime)).Milliseconds())
			}
		}
	}
	d.replicas = d.replicas[:len(d.replicas)-1]
	return late, joinErrors(err, d.addReplicas(1))
}

// joinErrors returns the first error.
func joinErrors(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
