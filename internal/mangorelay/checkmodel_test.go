package mangorelay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangobroadcast"
	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocheck"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangolimit"
	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangorecovery"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// The model's data centre: layers of a chain, holders of each, daemons of which two are hubs, and streams of each daemon.
const (
	modelStages, modelHolders, modelDaemons, modelStreams = 11, 3, 60, 2
	// modelMessage is the time of a message with the batch that it waits for, modelRoundTrip that of a connection, and modelOrder
	// that of an order with its answer.
	modelMessage, modelRoundTrip, modelOrder = 6 * time.Millisecond, 500 * time.Microsecond, 3 * time.Millisecond
)

// modelLayers returns the layers of a stage.
func modelLayers(stage int) mangoreplica.LayerRange {
	return mangoreplica.LayerRange{From: stage, To: stage + 1}
}

// checkFleet is the daemons of a data centre with real relays and checkers, on a network in memory and the clock of synctest.
type checkFleet struct {
	view     *mangostate.View
	replicas []*mangoreplica.Replica
	daemons  []*modelDaemon
	extra    time.Duration
	// running counts the goroutines of the daemons and of messages on their way.
	running sync.WaitGroup

	mu          sync.Mutex
	connections map[string]int
	dark        map[string]bool
	// down daemons neither send nor receive, cut ones reach no replica.
	down, cut map[string]bool
}

// modelDaemon is a daemon of a checkFleet; it is the Sender, PeerNotifier and dialer of its parts.
type modelDaemon struct {
	Exchanger
	fleet   *checkFleet
	self    mangostate.Member
	health  *mangoreplica.HealthTracker
	relay   *Relay
	checker *mangocheck.Checker
}

func newCheckFleet(ctx context.Context, extra time.Duration) *checkFleet {
	f := &checkFleet{extra: extra, connections: map[string]int{}, dark: map[string]bool{}, down: map[string]bool{}, cut: map[string]bool{}}
	for i := range modelStages * modelHolders {
		id := fmt.Sprintf("r-%d", i)
		f.replicas = append(f.replicas, &mangoreplica.Replica{ID: id, Service: "s", Address: id, DataCentre: "a", Accelerator: "k", Layers: modelLayers(i / modelHolders)})
	}
	members := []mangostate.Member{{Name: "d-0", DataCentre: "a"}, {Name: "d-1", DataCentre: "a", Seat: 1}}
	f.view = &mangostate.View{Fleet: mangoreplica.NewFleet(f.replicas), Members: members}
	for i := range modelDaemons {
		d := &modelDaemon{fleet: f, self: mangostate.Member{Name: fmt.Sprintf("d-%d", i), DataCentre: "a"}, health: mangoreplica.NewHealthTracker()}
		d.checker = mangocheck.New(d.self, fixedState{f.view}, d, d, mangocheck.WithLogger(quietLogger()), mangocheck.WithFollows(func(string) bool { return i == 0 }))
		d.relay = New("a", fixedState{f.view}, nil, d, d.health, mangobudget.New(mangobudget.Limit{}), mangocrash.New(d.self.Name),
			WithLogger(quietLogger()), WithPeerNotifier(d), WithCheckRequester(d.checker), WithPathChanger(d))
		d.checker.OnVerdict(d.relay.ReportLost, d.relay.ReportReachable)
		f.running.Go(func() { _ = d.relay.Run(ctx) })
		f.running.Go(func() { _ = d.checker.Run(ctx) })
		f.daemons = append(f.daemons, d)
	}
	return f
}

// Reach implements Exchanger by the two attempts of mangoconn.Dialer.
func (d *modelDaemon) Reach(ctx context.Context, address string, timeout time.Duration) error {
	f := d.fleet
	f.mu.Lock()
	isDark := f.dark[address] || f.cut[d.self.Name]
	f.connections[address]++
	if isDark {
		f.connections[address]++
	}
	f.mu.Unlock()
	if isDark {
		sleep(ctx, timeout)
		return context.DeadlineExceeded
	}
	time.Sleep(modelRoundTrip)
	return nil
}

// send delivers a message to a daemon unless one of the two is down.
func (d *modelDaemon) send(to string, deliver func(o *modelDaemon)) {
	f := d.fleet
	f.running.Go(func() {
		time.Sleep(modelMessage + f.extra)
		f.mu.Lock()
		lost := f.down[to] || f.down[d.self.Name]
		f.mu.Unlock()
		if i := slices.IndexFunc(f.daemons, func(o *modelDaemon) bool { return o.self.Name == to }); !lost {
			deliver(f.daemons[i])
		}
	})
}

// SendCheckRequests implements mangocheck.Sender.
func (d *modelDaemon) SendCheckRequests(to mangostate.Member, replicas []mangoreplica.Incarnation) {
	d.send(to.Name, func(o *modelDaemon) { o.checker.HandleRequests(d.self, replicas) })
}

// SendCheckResult implements mangocheck.Sender.
func (d *modelDaemon) SendCheckResult(to mangostate.Member, r mangobroadcast.CheckResult) {
	d.send(to.Name, func(o *modelDaemon) { o.checker.HandleResult(r, d.self.Name) })
}

// SendOutage implements mangocheck.Sender.
func (d *modelDaemon) SendOutage(to mangostate.Member, outage mangoreplica.Outage) {
	d.send(to.Name, func(o *modelDaemon) { o.receive(outage) })
}

// AnnounceOutage implements PeerNotifier: a daemon tells the first hub, which tells all.
func (d *modelDaemon) AnnounceOutage(outage mangoreplica.Outage) {
	if d.self.Name != "d-0" {
		d.send("d-0", func(o *modelDaemon) { o.receive(outage) })
		return
	}
	for _, o := range d.fleet.daemons[1:] {
		d.send(o.self.Name, func(o *modelDaemon) { o.receive(outage) })
	}
}

// receive takes an outage as mangobroadcast does: the first hub checks what no monitor has checked.
func (d *modelDaemon) receive(o mangoreplica.Outage) {
	r := d.fleet.view.Fleet.ByID(o.Replica.ID)
	switch {
	case o.Cause == mangoreplica.CauseReachable:
		d.health.MarkReachable(o.Replica, time.Now())
	case d.self.Name == "d-0" && !o.Checked:
		if !d.health.Avoided(o.Replica, time.Now()) {
			d.relay.CheckReplica(r)
		}
	case d.health.Avoid(o.Replica, o.Cause, holdLost, time.Now()):
		if d.self.Name == "d-0" {
			d.AnnounceOutage(o)
		}
		d.relay.MarkLost(r)
	}
}

// ReportCrash implements PeerNotifier.
func (d *modelDaemon) ReportCrash() {}

// AnnounceRateLimit implements PeerNotifier.
func (d *modelDaemon) AnnounceRateLimit(mangolimit.Limit) {}

// Repath implements PathChanger.
func (d *modelDaemon) Repath(ctx context.Context, first *mangoreplica.Replica, _ string, _ []mangopipeline.Stage) (RepathAnswer, error) {
	d.fleet.mu.Lock()
	isDark := d.fleet.dark[first.ID]
	d.fleet.mu.Unlock()
	if isDark {
		<-ctx.Done()
		return RepathAnswer{Answer: mangorecovery.AnswerUnknown}, ctx.Err()
	}
	sleep(ctx, modelOrder)
	return RepathAnswer{Answer: mangorecovery.AnswerBegun}, nil
}
