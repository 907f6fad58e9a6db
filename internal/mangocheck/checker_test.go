package mangocheck

import (
	"context"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

// fakeNetwork is the Dialer and Sender of a checker; it records what is sent.
type fakeNetwork struct {
	err error

	mu      sync.Mutex
	asked   []string
	told    []string
	results int
}

func (n *fakeNetwork) Reach(ctx context.Context, _ string, timeout time.Duration) error {
	if n.err != nil {
		sleep(ctx, timeout)
	}
	return n.err
}

func (n *fakeNetwork) SendCheckRequests(to mangostate.Member, _ []mangoreplica.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = append(n.asked, to.Name)
}

func (n *fakeNetwork) SendCheckResult(mangostate.Member, mangobroadcast.CheckResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.results++
}

func (n *fakeNetwork) SendOutage(to mangostate.Member, o mangoreplica.Outage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told = append(n.told, to.Name+" "+string(o.Cause))
}

// hubs are two of data centre a and one of b.
func hubs() []mangostate.Member {
	return []mangostate.Member{{Name: "a-0", DataCentre: "a"}, {Name: "a-1", DataCentre: "a", Seat: 1}, {Name: "b-0", DataCentre: "b"}}
}

func newChecker(self mangostate.Member, n *fakeNetwork, members []mangostate.Member, opts ...Option) *Checker {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	view := &mangostate.View{Fleet: mangoreplica.NewFleet([]*mangoreplica.Replica{replica(0)}), Members: members}
	return New(self, fixedState{view}, n, n, append([]Option{WithLogger(logger)}, opts...)...)
}

// Guards against requests that go to daemons that do not act on them, and against a daemon that waits for hubs that do not exist.
func TestRequestsGoToMonitors(t *testing.T) {
	tests := []struct {
		name    string
		members []mangostate.Member
		self    mangostate.Member
		asked   []string
		ok      bool
	}{
		{"from the data centre", hubs(), mangostate.Member{Name: "a-7", DataCentre: "a"}, []string{"a-0", "a-1"}, true},
		{"from another data centre", hubs(), mangostate.Member{Name: "b-0", DataCentre: "b"}, []string{"a-0", "a-1"}, true},
		{"by a monitor itself", hubs(), mangostate.Member{Name: "a-0", DataCentre: "a"}, []string{"a-1"}, true},
		{"a data centre without hubs", hubs()[2:], mangostate.Member{Name: "a-7", DataCentre: "a"}, []string{"b-0"}, true},
		{"no hub at all", nil, mangostate.Member{Name: "a-7", DataCentre: "a"}, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := &fakeNetwork{}
			is.Equal(newChecker(tt.self, n, tt.members).RequestChecks([]*mangoreplica.Replica{replica(0)}), tt.ok)
			slices.Sort(n.asked)
			is.Equal(n.asked, tt.asked)
		})
	}
}

// Guards against a start of a replica that is taken for lost because an earlier one has ended, against daemons that check
// replicas that others monitor, and against requesters that are not told since the hub that they follow has been lost.
func TestFindings(t *testing.T) {
	lost := func(cause mangoreplica.Cause, born int64) string {
		return string(cause) + " " + time.Duration(born).String()
	}
	tests := []struct {
		name string
		self string
		err  error
		born int64
		// follower is the daemon that follows the checker's; a-7 asks.
		follower string
		found    []string
		told     []string
	}{
		{"sound", "a-0", nil, 5, "a-7", []string{"Reachable 5ns"}, nil},
		{"lost, told by announcement", "a-0", os.ErrDeadlineExceeded, 5, "a-7", []string{lost(mangoreplica.CauseUnreachable, 5)}, nil},
		{"lost, told one by one", "a-1", os.ErrDeadlineExceeded, 5, "", []string{lost(mangoreplica.CauseUnreachable, 5)}, []string{"a-7 Unreachable"}},
		{"ended", "a-1", syscall.ECONNREFUSED, 5, "", []string{lost(mangoreplica.CauseEnded, 5)}, []string{"a-7 Ended"}},
		{"started anew since", "a-1", nil, 4, "", []string{lost(mangoreplica.CauseEnded, 4)}, []string{"a-7 Ended"}},
		{"lost, to one that follows another hub", "a-0", os.ErrDeadlineExceeded, 5, "a-9", []string{lost(mangoreplica.CauseUnreachable, 5)}, []string{"a-7 Unreachable"}},
		{"known to the requester only", "a-1", os.ErrDeadlineExceeded, 6, "", nil, nil},
		{"monitored by others", "b-0", os.ErrDeadlineExceeded, 5, "a-7", nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &fakeNetwork{err: tt.err}
				var found []string
				c := newChecker(mangostate.Member{Name: tt.self, DataCentre: tt.self[:1]}, n, hubs(), WithFollows(func(daemon string) bool { return daemon == tt.follower }))
				c.OnVerdict(func(r *mangoreplica.Replica, cause mangoreplica.Cause) { found = append(found, lost(cause, r.Born)) },
					func(r *mangoreplica.Replica) { found = append(found, lost(mangoreplica.CauseReachable, r.Born)) })
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- c.Run(ctx) }()
				c.HandleRequests(mangostate.Member{Name: "a-7", DataCentre: "a"}, []mangoreplica.Incarnation{{ID: "r-0", Born: tt.born}})
				time.Sleep(time.Second)
				cancel()
				is.True(<-ended != nil)
				is.Equal(found, tt.found)
				is.Equal(n.told, tt.told)
			})
		})
	}
}

// Guards against a sound replica that stays avoided since a hub that is cut off from it announced its loss before the
// result of the other monitor, which reached it meanwhile, arrived.
func TestLateResultOfOtherMonitorEndsOutage(t *testing.T) {
	tests := []struct {
		name string
		err  error
		// reachedAt is when the other monitor reached the replica, from the start of this hub's check; its result arrives at 90 ms.
		reachedAt time.Duration
		found     []string
	}{
		{"reached during the check", os.ErrDeadlineExceeded, 40 * time.Millisecond, []string{"Unreachable", "Reachable"}},
		{"reached before the check", os.ErrDeadlineExceeded, -10 * time.Millisecond, []string{"Unreachable"}},
		{"its process has ended", syscall.ECONNREFUSED, 40 * time.Millisecond, []string{"Ended"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newChecker(mangostate.Member{Name: "a-0", DataCentre: "a"}, &fakeNetwork{err: tt.err}, hubs())
				var mu sync.Mutex
				var found []string
				add := func(cause mangoreplica.Cause) {
					mu.Lock()
					defer mu.Unlock()
					found = append(found, string(cause))
				}
				c.OnVerdict(func(_ *mangoreplica.Replica, cause mangoreplica.Cause) { add(cause) },
					func(*mangoreplica.Replica) { add(mangoreplica.CauseReachable) })
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- c.Run(ctx) }()
				begin := time.Now()
				c.HandleRequests(mangostate.Member{Name: "a-7", DataCentre: "a"}, []mangoreplica.Incarnation{replica(0).Incarnation()})
				time.Sleep(90 * time.Millisecond)
				for range 2 { // the second one changes nothing
					c.HandleResult(mangobroadcast.CheckResult{Replica: replica(0).Incarnation(), Reachable: true, At: begin.Add(tt.reachedAt)}, "a-1")
				}
				cancel()
				is.True(<-ended != nil)
				is.Equal(found, tt.found)
			})
		})
	}
}

// addressNetwork is a Dialer that reaches replicas by their addresses unless these do not answer.
type addressNetwork struct {
	fakeNetwork
	dark map[string]bool

	dialMu sync.Mutex
	dialed []string
}

func (n *addressNetwork) Reach(ctx context.Context, address string, timeout time.Duration) error {
	n.dialMu.Lock()
	n.dialed = append(n.dialed, address)
	n.dialMu.Unlock()
	if n.dark[address] {
		sleep(ctx, timeout)
		return os.ErrDeadlineExceeded
	}
	time.Sleep(time.Millisecond)
	return nil
}

// Guards against a sound replica that is avoided by all since a hub that is cut off was asked to check only this one and so had no
// other checks to doubt itself by.
func TestSingleFailureNeedsWitness(t *testing.T) {
	tests := []struct {
		name string
		dark []string
		// size is the number of replicas in the data centre.
		size int
		// others are the connections to other replicas.
		others int
		lost   bool
	}{
		{"the hub is cut off", []string{"0", "1", "2", "3", "4"}, 5, maxWitnesses, false},
		{"the replica is lost", []string{"0"}, 5, maxWitnesses, true},
		{"the replica and a witness are lost", []string{"0", "1"}, 3, 2, true},
		{"there is no other replica", []string{"0"}, 1, 0, true},
		{"the replica is sound", nil, 5, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := &addressNetwork{dark: map[string]bool{}}
				for _, a := range tt.dark {
					n.dark[a] = true
				}
				var replicas []*mangoreplica.Replica
				for i := range tt.size {
					r := replica(i)
					r.Address = strconv.Itoa(i)
					replicas = append(replicas, r)
				}
				elsewhere := replica(9)
				elsewhere.DataCentre, elsewhere.Address = "b", "9"
				c := newChecker(mangostate.Member{Name: "a-0", DataCentre: "a"}, &n.fakeNetwork, hubs()[:1])
				c.dialer = n
				c.state = fixedState{&mangostate.View{Fleet: mangoreplica.NewFleet(append(replicas, elsewhere)), Members: hubs()[:1]}}
				lost := false
				c.OnVerdict(func(*mangoreplica.Replica, mangoreplica.Cause) { lost = true }, func(*mangoreplica.Replica) {})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- c.Run(ctx) }()
				c.HandleRequests(mangostate.Member{Name: "a-7", DataCentre: "a"}, []mangoreplica.Incarnation{replicas[0].Incarnation()})
				time.Sleep(140 * time.Millisecond)
				cancel()
				is.True(<-ended != nil)
				is.Equal(lost, tt.lost)
				is.Equal(len(n.dialed), 1+tt.others)
				is.True(!slices.Contains(n.dialed, "9"))
			})
		})
	}
}

// Guards against lost replicas of a data centre that nobody announces: the other monitor, which contradicted this hub, has ended, so that
// nobody can confirm what this hub finds.
func TestOnlyHubAnnouncesAfterContradiction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &fakeNetwork{err: os.ErrDeadlineExceeded}
		var lost []string
		c := newChecker(hubs()[0], n, hubs()[:1])
		c.OnVerdict(func(r *mangoreplica.Replica, _ mangoreplica.Cause) { lost = append(lost, r.ID) }, func(*mangoreplica.Replica) {})
		// The contradiction is by a hub that is no longer among the members; several witnesses were reached a moment ago.
		now := time.Now()
		c.table.contradictedAt = now
		for i := 1; i < 6; i++ {
			c.table.RecordWitness(replica(i), now)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Run(ctx) }()
		synctest.Wait()
		c.HandleRequests(mangostate.Member{Name: "d"}, []mangoreplica.Incarnation{replica(0).Incarnation()})
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		is.Equal(lost, []string{"r-0"})
	})
}
