package mangorelay

import (
	"context"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// recordedChecks is a CheckRequester, Prober and dialer that counts what it is asked.
type recordedChecks struct {
	Exchanger
	noProber
	hasHubs bool
	// err is what connections fail with after their second attempt.
	err error

	mu sync.Mutex
	// requests, connections and reports count what was asked for, and requested has the replicas of the requests.
	requests, connections, reports int
	requested                      []string
}

func (c *recordedChecks) RequestChecks(replicas []*mangoreplica.Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	for _, r := range replicas {
		c.requested = append(c.requested, r.ID)
	}
	return c.hasHubs
}

func (c *recordedChecks) Reach(context.Context, string, time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections++
	if c.err != nil {
		c.connections++
	}
	return c.err
}

func (c *recordedChecks) Stalled(context.Context, *mangoreplica.Replica) ([]StalledRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports++
	return nil, nil
}

// Guards against daemons that connect to the replicas of a silent chain although hubs check them, that ask again and again, or
// that wait for hubs for ever.
func TestSilentChainIsCheckedByHubsFirst(t *testing.T) {
	tests := []struct {
		name    string
		hasHubs bool
		// err is what connections fail with.
		err                                       error
		silent                                    time.Duration
		requests, requested, connections, reports int
	}{
		{"not silent for long", true, nil, gapSoft - time.Millisecond, 0, 0, 0, 0},
		{"silent", true, nil, gapSoft + 100*time.Millisecond, 1, 3, 0, 0},
		{"silent after the first request", true, nil, gapSoft + 200*time.Millisecond, 2, 6, 0, 0},
		{"silent until the report is due", true, nil, stallCheckAfter + silencePoll, 2, 6, 1, 1},
		{"silent for long", true, nil, 600 * time.Millisecond, 3, 9, 1, 2},
		{"no hub", false, nil, gapSoft + 100*time.Millisecond, 1, 3, 1, 0},
		{"no hub, no answer", false, os.ErrDeadlineExceeded, 600 * time.Millisecond, 3, 7, 4, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				checks := &recordedChecks{hasHubs: tt.hasHubs, err: tt.err}
				chain := chainTarget("r", "s", "t")
				view := &mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{chain.stages[0].Replica, chain.stages[1].Replica, chain.stages[2].Replica})}
				r := New("a", fixedState{view}, nil, checks, mangoreplica.NewHealthTracker(), mangobudget.New(mangobudget.Limit{}), mangocrash.New("one"),
					WithLogger(quietLogger()), WithCheckRequester(checks), WithProber(checks))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- r.Run(ctx) }()
				// Ten streams pass through the chain.
				for silent := gapSoft; silent <= tt.silent; silent += silencePoll {
					for range 10 {
						r.checkSilentChain(chain, "q", silent, gapSoft)
					}
					time.Sleep(silencePoll)
				}
				cancel()
				is.True(<-ended != nil)
				is.Equal(checks.requests, tt.requests)
				is.Equal(len(checks.requested), tt.requested)
				is.Equal(checks.connections, tt.connections)
				is.Equal(checks.reports, tt.reports)
			})
		})
	}
}

// Guards against a daemon without a hub that makes more connections than all daemons together may, and against one that looks at
// the first replica only.
func TestOwnChecksAreFew(t *testing.T) {
	for _, err := range []error{nil, os.ErrDeadlineExceeded} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			checks := &recordedChecks{err: err}
			r := New("a", fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}, nil, checks, mangoreplica.NewHealthTracker(), mangobudget.New(mangobudget.Limit{}),
				mangocrash.New("one"), WithLogger(quietLogger()), WithProber(checks))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- r.Run(ctx) }()
			for range 200 { // 5 s
				for _, ids := range [][]string{{"r", "s", "t"}, {"u", "v"}, {"w", "x", "y", "z"}} {
					r.checkSilentChain(chainTarget(ids...), "q", time.Second, gapSoft)
				}
				time.Sleep(silencePoll)
			}
			cancel()
			is.True(<-ended != nil)
			sum := checks.connections + checks.reports
			is.True(sum <= 5*localChecksPerSecond+localCheckBurst+1)
			is.True(sum >= 5*localChecksPerSecond-5)
			is.True(checks.connections > checks.reports/4)
		})
	}
}

// Guards against more own checks at once than the limit allows when many streams fall silent at the same moment: each saw a token
// before any had taken it.
func TestOwnChecksAreFewAtOnce(t *testing.T) {
	for range 50 {
		is := is.New(t)
		checks := &recordedChecks{}
		r := New("a", fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(nil)}}, nil, checks, mangoreplica.NewHealthTracker(), mangobudget.New(mangobudget.Limit{}),
			mangocrash.New("one"), WithLogger(quietLogger()), WithProber(checks))
		// One time for all, since the limit admits further checks as time passes.
		begin, now := make(chan struct{}), time.Now()
		var streams sync.WaitGroup
		for i := range 64 {
			chain := chainTarget(strconv.Itoa(i))
			streams.Go(func() {
				<-begin
				r.checkLocally(chain, "q", time.Second, now)
			})
		}
		close(begin)
		streams.Wait()
		is.True(len(r.pendingChecks) <= localCheckBurst)
	}
}

// Guards against requests for replicas that are known to be lost, and against a stream that waits for a stage that has started
// anew and holds nothing of it.
func TestKnownLossesAreNotAskedFor(t *testing.T) {
	tests := []struct {
		name      string
		cause     mangoreplica.Cause
		born      int64
		requested []string
		ended     bool
	}{
		{"nothing is known", "", 0, []string{"r", "s"}, false},
		{"a stage is lost", mangoreplica.CauseUnreachable, 0, []string{"r"}, false},
		{"a stage is leaving", mangoreplica.CauseStopping, 0, []string{"r", "s"}, false},
		{"a stage has started anew", "", 7, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				checks := &recordedChecks{hasHubs: true}
				chain := chainTarget("r", "s")
				entry := *chain.stages[1].Replica
				entry.Born = tt.born
				health := mangoreplica.NewHealthTracker()
				r := New("a", fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{chain.first, &entry})}}, nil, checks, health,
					mangobudget.New(mangobudget.Limit{}), mangocrash.New("one"), WithLogger(quietLogger()), WithCheckRequester(checks))
				if tt.cause != "" {
					health.Avoid(mangoreplica.Incarnation{ID: "s"}, tt.cause, time.Minute, time.Now())
				}
				r.checkSilentChain(chain, "q", gapSoft, gapSoft)
				is.Equal(checks.requested, tt.requested)
				if !tt.ended {
					r.checkSilentChain(chainTarget("r", "t"), "p", gapSoft, gapSoft)
					is.Equal(checks.requested, append(tt.requested, "t")) // another chain with the same first replica does not wait
				}
				is.Equal(health.Outages(time.Now())[mangoreplica.Incarnation{ID: "s"}].Cause == mangoreplica.CauseEnded, tt.ended)
				is.True(!health.Avoided(entry.Incarnation(), time.Now()) || tt.cause != "")
			})
		})
	}
}

// Guards against a request that silences one replica after the other and is never known for it since hubs find the losses, and
// against requests that are suspected because a data centre is out of reach.
func TestFoundLossReportsRequests(t *testing.T) {
	tests := []struct {
		name  string
		cause mangoreplica.Cause
		// alsoLost is another replica of each data centre that is out of reach.
		alsoLost bool
		held     bool
	}{
		{"the process has ended", mangoreplica.CauseEnded, false, true},
		{"no answer", mangoreplica.CauseUnreachable, false, true},
		{"no answer of several", mangoreplica.CauseUnreachable, true, false},
		{"stalled", mangoreplica.CauseStalled, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var list []*mangoreplica.Replica
				for _, id := range []string{"a", "b", "a-other", "b-other"} {
					list = append(list, &mangoreplica.Replica{ID: id, DataCentre: id[:1], Service: "s"})
				}
				crashes, health := mangocrash.New("one"), mangoreplica.NewHealthTracker()
				r := New("a", fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(list)}}, nil, nil, health, mangobudget.New(mangobudget.Limit{}), crashes, WithLogger(quietLogger()))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- r.Run(ctx) }()
				for i, replica := range list[:2] {
					if tt.alsoLost {
						health.Avoid(list[i+2].Incarnation(), mangoreplica.CauseUnreachable, time.Minute, time.Now())
					}
					health.Avoid(replica.Incarnation(), tt.cause, time.Minute, time.Now())
					r.inFlight.add(&inFlightRequest{identity: mangocrash.Request{Fingerprint: "stream"}, wake: func() {}}, []mangoreplica.Incarnation{replica.Incarnation()})
					r.MarkLost(replica)
				}
				time.Sleep(200 * time.Millisecond)
				cancel()
				is.True(<-ended != nil)
				is.Equal(crashes.Held("stream", time.Now()), tt.held)
			})
		})
	}
}

// Guards against checks of replicas that other streams pass, and against a lost replica that is not checked for since events of it
// lay in a buffer behind a slow caller or came before the silence.
func TestEventsProveReplica(t *testing.T) {
	tests := []struct {
		name string
		// waited is how long the read of the event waited, and age how long ago that was.
		waited, age time.Duration
		proves      bool
	}{
		{"just now", 20 * time.Millisecond, 10 * time.Millisecond, true},
		{"from a buffer", 0, 10 * time.Millisecond, false},
		{"as old as the silence", 20 * time.Millisecond, gapSoft, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				index, f, r := newInFlightIndex(), &inFlightRequest{wake: func() {}}, mangoreplica.Incarnation{ID: "r"}
				index.add(f, []mangoreplica.Incarnation{r})
				begun := time.Now()
				time.Sleep(tt.waited)
				f.recordProgress(begun)
				time.Sleep(tt.age)
				is.New(t).Equal(index.hasPassed(r, gapSoft/provenDivisor, time.Now()), tt.proves)
			})
		})
	}
}
