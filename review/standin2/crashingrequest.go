package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// crashDaemons is the number of daemons, and crashReplicas that of the replicas.
	crashDaemons  = 3
	crashReplicas = 12
	// replicaDownTime is the time after which a replica that crashed is back, under a new id, and entryLifetime that after which the store
	// removes the entry of one that crashed, three heartbeat intervals of 1,200 ms.
	replicaDownTime = 2500 * time.Millisecond
	entryLifetime   = 3600 * time.Millisecond
	// roundPause is the time between two rounds, in each of which one client sends the crashing request, and rounds is their number. All
	// daemons are killed killDelay after the round before each round of killedBefore, and start again daemonDownTime later.
	roundPause     = 8 * time.Second
	rounds         = 6
	killDelay      = time.Second
	daemonDownTime = 2 * time.Second
	// crashTries is how often the client tries in a round, each time at another daemon, and tryPause its pause between two tries.
	crashTries = 3
	tryPause   = 100 * time.Millisecond
	// crashWait is how long a client waits for its answer, and bookingWork the time that a sound booking runs.
	crashWait   = 4 * time.Second
	bookingWork = 40 * time.Millisecond
	// crashesBefore is the number of crashes after which the rule counts, and allowedRetries is what it allows from contactTime after the
	// last of these.
	crashesBefore  = 3
	allowedRetries = 3
	// crashingTarget is the path of the request that crashes each replica that begins to run it.
	crashingTarget = "/lookup/crash"
	// soundClients make a sound booking each soundPause.
	soundClients = 6
	soundPause   = 50 * time.Millisecond
)

// killedBefore reports whether the daemons are killed before a round, counted from 0.
func killedBefore(round int) bool { return round == 2 || round == 4 }

// arrival is the begin of a run of the crashing request.
type arrival struct {
	request, replica string
	at               time.Time
}

// crashPlay is the state of the case.
type crashPlay struct {
	deployment *deployment

	mu       sync.Mutex
	arrivals []arrival
	// failed is the number of replicas that could not be started again.
	failed int
	// outages are the times from a kill of all daemons until they were ready again.
	outages []outage
}

// outage is a time in which daemons do not run.
type outage struct{ killedAt, readyAt time.Time }

// playCrashingRequest has one request crash each replica that begins to run it. It comes again and again with the same path, caller and
// body, at any daemon. All daemons are killed twice and start again. From contactMs after the third crash it may reach replicas three
// times, as far as the daemons that send it have run for contactMs.
func playCrashingRequest(d *deployment, trouble bool) (bool, error) {
	p := &crashPlay{deployment: d}
	for n := range crashReplicas {
		if err := p.startReplica(fmt.Sprintf("r-%d", n+1), dataCentre(n)); err != nil {
			return false, err
		}
	}
	if err := d.addDaemons(crashDaemons); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := p.bookAll(stop, &clients)
	err := p.playRounds(trouble)
	close(stop)
	clients.Wait()
	if err != nil {
		return false, err
	}
	for result, n := range counts {
		d.record.note("sound bookings: %d with %s", n, result)
	}
	return p.judge()
}

// startReplica starts a replica that the crashing request crashes.
func (p *crashPlay) startReplica(id, dataCentre string) error {
	d := p.deployment
	r, err := newReplica(d.gate, d.store, d.record, id, dataCentre)
	if err != nil {
		return err
	}
	r.work = bookingWork
	r.crashes = func(request *http.Request) bool {
		if request.URL.Path != crashingTarget {
			return false
		}
		p.recordArrival(request.Header.Get(names.Headers.ID), id)
		d.record.note("crash    of %s", id)
		r.crash()
		time.AfterFunc(entryLifetime, func() { d.store.remove(names.ReplicaPrefix + id) })
		time.AfterFunc(replicaDownTime, func() { p.restart(id, dataCentre) })
		return true
	}
	r.open()
	return nil
}

// restart starts a replica that crashed under a new id.
func (p *crashPlay) restart(id, dataCentre string) {
	if err := p.startReplica(id+"n", dataCentre); err != nil {
		p.deployment.record.note("%s could not be started again: %v", id, err)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.failed++
	}
}

func (p *crashPlay) recordArrival(request, replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, arrival{request: request, replica: replica, at: time.Now()})
}

// playRounds plays the rounds, and kills the daemons before some of them.
func (p *crashPlay) playRounds(trouble bool) error {
	for round := range rounds {
		begun := time.Now()
		p.sendCrashing(round)
		if killedBefore(round+1) && trouble {
			time.Sleep(time.Until(begun.Add(killDelay)))
			if err := p.killAll(); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(begun.Add(roundPause)))
	}
	return nil
}

// sendCrashing sends the crashing request as a client that tries again at another daemon after a failure, until it is told that the
// request was not run.
func (p *crashPlay) sendCrashing(round int) {
	d := p.deployment
	for try := range crashTries {
		to, id := d.daemons[(round+try)%len(d.daemons)], fmt.Sprintf("crash-%d-%d", round+1, try+1)
		c, err := dial(to.front)
		if err != nil {
			d.record.note("no connection for %s: %v", id, err)
			return
		}
		d.record.note("sent     %s to %s", id, to.name)
		a := c.send(http.MethodPost, crashingTarget, id, "the same body", crashWait)
		c.close()
		d.record.note("answered %s: %v", id, a)
		if a.status == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(tryPause)
	}
}

// killAll kills all daemons at once and starts them again.
func (p *crashPlay) killAll() error {
	d := p.deployment
	d.record.note("all daemons are killed")
	killedAt := time.Now()
	for _, daemon := range d.daemons {
		daemon.signal(syscall.SIGKILL)
	}
	for _, daemon := range d.daemons {
		<-daemon.ended
	}
	time.Sleep(daemonDownTime)
	for _, daemon := range d.daemons {
		if err := daemon.startAgain(); err != nil {
			return err
		}
	}
	for _, daemon := range d.daemons {
		if err := daemon.awaitReady(); err != nil {
			return err
		}
	}
	p.outages = append(p.outages, outage{killedAt: killedAt, readyAt: time.Now()})
	d.record.note("all daemons run again and are ready")
	return nil
}

// bookAll makes sound bookings until stop is closed and returns their numbers by result, which hold once group is done.
func (p *crashPlay) bookAll(stop <-chan struct{}, group *sync.WaitGroup) map[string]int {
	d := p.deployment
	var mu sync.Mutex
	counts := map[string]int{}
	for client := range soundClients {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(soundPause):
				}
				result := book(d, fmt.Sprintf("b%d-%03d", client, n), d.daemons[client%len(d.daemons)].front)
				mu.Lock()
				counts[result]++
				mu.Unlock()
			}
		})
	}
	return counts
}

// judge counts the runs of the crashing request that are later than contactMs after the third crash, and that were sent by daemons in
// touch.
func (p *crashPlay) judge() (bool, error) {
	d := p.deployment
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed > 0 {
		return false, errors.New("replicas could not be started again")
	}
	count := 0
	for n, a := range p.arrivals {
		if n < crashesBefore || a.at.Before(p.arrivals[crashesBefore-1].at.Add(contactTime)) {
			continue
		}
		if p.outOfTouch(a.at) {
			d.record.note("not counted: %s reached %s", a.request, a.replica)
			continue
		}
		count++
		d.record.note("counted: %s reached %s", a.request, a.replica)
	}
	result := fmt.Sprintf("%d crashes in all, %d of them counted by the rule, which allows %d", len(p.arrivals), count, allowedRetries)
	d.record.note("%s", result)
	fmt.Println(result)
	return count > allowedRetries, nil
}

// outOfTouch reports whether the daemons had been killed and had not been ready for contactMs again at a time.
func (p *crashPlay) outOfTouch(at time.Time) bool {
	return slices.ContainsFunc(p.outages, func(o outage) bool { return at.After(o.killedAt) && at.Before(o.readyAt.Add(contactTime)) })
}
