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
	"mangopath.org/mangopath/internal/mangosuspect"
)

// apartPause is the time between looks for replicas without another suspect. Suspects of one crash that share the last
// replica wait for each other in turn, each for about a prefill and a few steps.
const apartPause = 20 * time.Millisecond

// chooseApart waits until the suspect may run on replicas of its own among suspects, or is condemned.
func (c *Controller) chooseApart(ctx context.Context, request mangochain.Request) (mangocall.Assignment, error) {
	for {
		verdict := c.suspects.Check(request.Fingerprint, c.now())
		if verdict == mangosuspect.Blocked {
			c.logger.WithFields(logrus.Fields{"event": "quarantined", "call": request.CallID, "fingerprint": request.Fingerprint}).Warn("request refused")
			return mangocall.Assignment{}, &mangocall.Error{
				Op: "choose", Kind: mangocall.KindQuarantine, Outcome: mangocall.Rejected, Err: errors.New("the request crashed upstreams"),
			}
		}
		if assignment, ok := c.tryApart(request); ok {
			return assignment, nil
		}
		timer := time.NewTimer(apartPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return mangocall.Assignment{}, &Error{Op: "choose", Kind: KindNoReplica, Err: ctx.Err()}
		case <-timer.C:
		}
	}
}

// tryApart chooses among the replicas that are left to this suspect and takes them.
func (c *Controller) tryApart(request mangochain.Request) (mangocall.Assignment, bool) {
	now := c.now()
	exclude := c.notLeftTo(request, now)
	maps.Copy(exclude, request.Exclude)
	request.Exclude = exclude
	assignment, err := c.choose(request)
	if err != nil {
		return mangocall.Assignment{}, false
	}
	var taken []string
	giveBack := func() {
		for _, host := range taken {
			c.suspects.Release(request.Fingerprint, host)
		}
		assignment.Release()
	}
	for _, stage := range assignment.Chain.Stages {
		if !c.suspects.Acquire(request.Fingerprint, stage.Replica.Host, now) {
			giveBack()
			return mangocall.Assignment{}, false
		}
		taken = append(taken, stage.Replica.Host)
	}
	return mangocall.Assignment{
		Chain: assignment.Chain, Release: sync.OnceFunc(giveBack),
		EndIsolation:  func() { c.suspects.Passed(request.Fingerprint, c.now()) },
		ClearSuspicion: func() { c.suspects.Complete(request.Fingerprint, c.now()) },
	}, true
}

// notLeftTo returns the replicas on which the suspect must not run now, judged for each range of layers by itself so
// that every stage keeps one.
func (c *Controller) notLeftTo(request mangochain.Request, now time.Time) map[string]bool {
	type span struct{ from, to uint32 }
	ranges := map[span][]string{}
	exclude := map[string]bool{}
	for _, r := range c.Snapshot().View(request.Profile).Replicas {
		if r.Leaving || r.Ejected || request.Exclude[r.Host] {
			continue
		}
		key := span{r.FromLayer, r.ToLayer}
		ranges[key] = append(ranges[key], r.Host)
		exclude[r.Host] = true
	}
	for _, hosts := range ranges {
		for _, host := range c.suspects.Hosts(request.Fingerprint, hosts, now) {
			delete(exclude, host)
		}
	}
	return exclude
}

// Crashed reports a host that died with a call aboard and waits until the peers of the data centre know of it, so that a
// resend elsewhere is known. The others learn of it from exchanges.
func (c *Controller) Crashed(host, fingerprint string) {
	if c.suspects == nil {
		return
	}
	c.suspects.Report(mangosuspect.NewCrashID(host), []string{fingerprint}, c.now())
	c.logger.WithFields(logrus.Fields{"event": "upstream_crashed", "host": host, "fingerprint": fingerprint}).Warn("upstream crashed with a call aboard")
	// The call that crashed may end meanwhile; peers have to know all the same.
	c.alertPeers(context.Background())
	c.wake()
}
