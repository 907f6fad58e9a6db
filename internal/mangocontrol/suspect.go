package mangocontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangocrash"
)

// suspectRetryInterval is the time between attempts to find replicas that run no other suspect. When only one replica
// is left to the suspects of a crash, they use it one after the other, each for about a prefill and a few steps.
const suspectRetryInterval = 20 * time.Millisecond

// chooseForSuspect waits until there is a chain of replicas that run no other suspect, and returns it. It fails when
// the request is found to crash upstreams.
func (c *Controller) chooseForSuspect(ctx context.Context, request mangochain.Request) (mangocall.Assignment, error) {
	for {
		verdict := c.crashTracker.Check(request.Fingerprint, c.now())
		if verdict == mangocrash.Blocked {
			c.logger.WithFields(logrus.Fields{"event": "quarantined", "call": request.CallID, "fingerprint": request.Fingerprint}).Warn("request refused because it crashed upstreams")
			return mangocall.Assignment{}, &mangocall.Error{
				Op: "choose", Kind: mangocall.KindQuarantine, Outcome: mangocall.Rejected, Err: errors.New("the request crashed upstreams"),
			}
		}
		if assignment, ok := c.tryChooseForSuspect(request); ok {
			return assignment, nil
		}
		timer := time.NewTimer(suspectRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return mangocall.Assignment{}, &Error{Op: "choose", Kind: KindNoReplica, Err: ctx.Err()}
		case <-timer.C:
		}
	}
}

// tryChooseForSuspect chooses a chain among the replicas that run no other suspect and reserves its replicas.
func (c *Controller) tryChooseForSuspect(request mangochain.Request) (mangocall.Assignment, bool) {
	now := c.now()
	exclude := c.hostsToAvoid(request, now)
	maps.Copy(exclude, request.Exclude)
	request.Exclude = exclude
	assignment, err := c.chooseChain(request)
	if err != nil {
		return mangocall.Assignment{}, false
	}
	var acquired []string
	release := func() {
		for _, host := range acquired {
			c.crashTracker.Release(request.Fingerprint, host)
		}
		assignment.Release()
	}
	for _, stage := range assignment.Chain.Stages {
		if !c.crashTracker.Acquire(request.Fingerprint, stage.Replica.Host, now) {
			release()
			return mangocall.Assignment{}, false
		}
		acquired = append(acquired, stage.Replica.Host)
	}
	return mangocall.Assignment{
		Chain: assignment.Chain, Release: sync.OnceFunc(release),
		EndIsolation:   func() { c.crashTracker.ReportProgress(request.Fingerprint, c.now()) },
		ClearSuspicion: func() { c.crashTracker.Complete(request.Fingerprint, c.now()) },
	}, true
}

// hostsToAvoid returns the replicas on which the suspect must not run now. The crash tracker is asked for each range of
// layers separately, so that it can leave the suspect a replica for every stage.
func (c *Controller) hostsToAvoid(request mangochain.Request, now time.Time) map[string]bool {
	type layerRange struct{ from, to uint32 }
	hostsByRange := map[layerRange][]string{}
	exclude := map[string]bool{}
	for _, r := range c.Snapshot().View(request.Profile).Replicas {
		if r.Leaving || r.Ejected || request.Exclude[r.Host] {
			continue
		}
		key := layerRange{r.FromLayer, r.ToLayer}
		hostsByRange[key] = append(hostsByRange[key], r.Host)
		exclude[r.Host] = true
	}
	for _, hosts := range hostsByRange {
		for _, host := range c.crashTracker.EligibleHosts(request.Fingerprint, hosts, now) {
			delete(exclude, host)
		}
	}
	return exclude
}

// Crashed reports a host that crashed while a call was in flight there. It waits until the peers of the data centre
// have been told, so that they recognise the request when the caller sends it again to one of them. Peers elsewhere
// learn of the crash from later exchanges.
func (c *Controller) Crashed(host, fingerprint string) {
	if c.crashTracker == nil {
		return
	}
	c.crashTracker.Report(mangocrash.NewCrashID(host), []string{fingerprint}, c.now())
	c.logger.WithFields(logrus.Fields{"event": "upstream_crashed", "host": host, "fingerprint": fingerprint}).Warn("upstream crashed with a call in flight")
	// The call may end meanwhile, but peers still have to be told, so its context is not used.
	c.alertPeers(context.Background())
	c.triggerExchange()
}
