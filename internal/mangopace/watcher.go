package mangopace

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

const (
	// surveyInterval is the least time between two surveys of a data centre by any daemon. Each question to a replica has
	// its price.
	surveyInterval = 1500 * time.Millisecond
	// secondInterval is that time after a survey that was the first for quietTime: reports are some hundred milliseconds old,
	// so those of replicas that have just become slow do not say so yet.
	secondInterval = 500 * time.Millisecond
	quietTime      = 5 * time.Second
	// surveySpread is the random time before a survey, within which that of another daemon may make it needless.
	surveySpread = 80 * time.Millisecond
	// againInterval is the time after which a slow replica is asked again, well within the time for which its pace counts.
	againInterval = 1200 * time.Millisecond
	// askTimeout bounds a question, and askWidth the questions at the same time.
	askTimeout = 400 * time.Millisecond
	askWidth   = 8
	// maxSuspected bounds the suspicions that wait.
	maxSuspected = 16
)

// Prober asks a replica for its pace.
type Prober interface {
	Slowness(ctx context.Context, r *mangoreplica.Replica) (float64, error)
}

// State returns what is known from the store.
type State interface {
	View() *mangostate.View
}

// place is a data centre of a service.
type place struct{ service, dataCentre string }

// surveys has the times of the last survey and of the one before it.
type surveys struct{ last, before time.Time }

// due reports whether another survey is useful.
func (s surveys) due(now time.Time) bool {
	interval := surveyInterval
	if s.last.Sub(s.before) >= quietTime {
		interval = secondInterval
	}
	return now.Sub(s.last) >= interval
}

// with returns the surveys with a later one; those of several daemons at about the same time count as one.
func (s surveys) with(at time.Time) surveys {
	if at.Sub(s.last) < secondInterval/2 {
		return s
	}
	return surveys{last: at, before: s.last}
}

// Detector asks replicas for their pace. Its methods are safe for concurrent use.
type Detector struct {
	state    State
	reporter Prober
	board    *mangoreplica.HealthTracker
	tell     func(p mangoreplica.Pace)
	logger   logrus.FieldLogger
	suspects chan place

	mu sync.Mutex
	// surveys has the last ones of each data centre by any daemon.
	surveys map[place]surveys
	// slow has the replicas that this daemon found slow, with the time of the last question.
	slow map[mangoreplica.Incarnation]time.Time
}

// Option sets a property of a Watcher.
type Option func(*Detector)

// WithLogger sets the logger of changes of belief.
func WithLogger(l logrus.FieldLogger) Option { return func(w *Detector) { w.logger = l } }

// New returns a watcher. What it learns goes to the board and to tell, which must not block.
func New(state State, reporter Prober, board *mangoreplica.HealthTracker, tell func(p mangoreplica.Pace), opts ...Option) *Detector {
	w := &Detector{
		state: state, reporter: reporter, board: board, tell: tell, logger: logrus.StandardLogger(),
		suspects: make(chan place, maxSuspected), surveys: map[place]surveys{}, slow: map[mangoreplica.Incarnation]time.Time{},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Suspect says that requests are slow in a data centre. It never blocks.
func (w *Detector) Suspect(service, dataCentre string) {
	if !w.due(place{service, dataCentre}, time.Now()) {
		return
	}
	select {
	case w.suspects <- place{service, dataCentre}:
	default:
	}
}

func (w *Detector) due(p place, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.surveys[p].due(now)
}

// RecordPeerReport takes the pace of a replica that another daemon has asked. It never blocks.
func (w *Detector) RecordPeerReport(p mangoreplica.Pace, from string) {
	r := w.state.View().Fleet.ByID(p.Replica.ID)
	if r == nil || r.Born != p.Replica.Born {
		return
	}
	w.mu.Lock()
	at := place{r.Service, r.DataCentre}
	w.surveys[at] = w.surveys[at].with(p.At)
	w.mu.Unlock()
	w.note(r, p, from)
}

// Run asks replicas until the context ends.
func (w *Detector) Run(ctx context.Context) error {
	again := time.NewTicker(againInterval / 4)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-w.suspects:
			w.survey(ctx, p)
		case <-again.C:
			w.askSlow(ctx)
		}
	}
}

// survey asks all replicas of a data centre that hold layers.
func (w *Detector) survey(ctx context.Context, p place) {
	timer := time.NewTimer(rand.N(surveySpread))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	now := time.Now()
	if !w.due(p, now) {
		return
	}
	w.mu.Lock()
	w.surveys[p] = w.surveys[p].with(now)
	w.mu.Unlock()
	var replicas []*mangoreplica.Replica
	for _, r := range w.state.View().Fleet.ByService(p.service) {
		if r.DataCentre == p.dataCentre && r.Layers.Len() > 0 {
			replicas = append(replicas, r)
		}
	}
	w.askAll(ctx, replicas)
	slow := 0
	for _, r := range replicas {
		if w.board.Slow(r.Incarnation(), now) {
			slow++
		}
	}
	w.logger.WithFields(logrus.Fields{
		"event": "paces_asked", "service": p.service, "data_centre": p.dataCentre, "replicas": len(replicas), "slow": slow,
		"took_ms": time.Since(now).Milliseconds(),
	}).Info("the replicas of a data centre with slow requests were asked for their pace")
}

// askSlow asks again the replicas that this daemon found slow.
func (w *Detector) askSlow(ctx context.Context) {
	now := time.Now()
	fleet := w.state.View().Fleet
	var replicas []*mangoreplica.Replica
	w.mu.Lock()
	for i, at := range w.slow {
		r := fleet.ByID(i.ID)
		switch {
		case r == nil || r.Born != i.Born:
			delete(w.slow, i)
		case now.Sub(at) >= againInterval:
			replicas = append(replicas, r)
		}
	}
	w.mu.Unlock()
	w.askAll(ctx, replicas)
}

func (w *Detector) askAll(ctx context.Context, replicas []*mangoreplica.Replica) {
	var group sync.WaitGroup
	slots := make(chan struct{}, askWidth)
	for _, r := range replicas {
		slots <- struct{}{}
		group.Go(func() {
			w.ask(ctx, r)
			<-slots
		})
	}
	group.Wait()
}

func (w *Detector) ask(ctx context.Context, r *mangoreplica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	slowness, err := w.reporter.Slowness(ctx, r)
	now := time.Now()
	i := r.Incarnation()
	w.mu.Lock()
	_, watched := w.slow[i]
	switch {
	case err != nil && watched:
		w.slow[i] = now
	case err == nil && slowness >= mangoreplica.SlowThreshold:
		w.slow[i] = now
	case err == nil:
		delete(w.slow, i)
	}
	w.mu.Unlock()
	if err != nil {
		w.logger.WithFields(logrus.Fields{"event": "pace_unknown", "replica": r.ID, "address": r.Address}).WithError(err).
			Warn("a replica did not say how slow it is")
		return
	}
	p := mangoreplica.Pace{Replica: i, Slowness: slowness, At: now}
	w.note(r, p, "")
	w.tell(p)
}

// note gives a pace to the board and logs whether the replica became slow or is no longer slow.
func (w *Detector) note(r *mangoreplica.Replica, p mangoreplica.Pace, from string) {
	if !w.board.RecordPace(p) {
		return
	}
	entry := w.logger.WithFields(logrus.Fields{
		"replica": r.ID, "address": r.Address, "data_centre": r.DataCentre, "slowness": p.Slowness, "peer": from,
	})
	if p.Slowness >= mangoreplica.SlowThreshold {
		entry.WithField("event", "replica_slow").Warn("a replica is slow; its layers go to others that have room")
		return
	}
	entry.WithField("event", "replica_paced").Info("a replica is no longer slow")
}
