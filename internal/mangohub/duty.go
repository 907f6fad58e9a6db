package mangohub

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangorevision"
)

// cancelWhenUnneeded calls cancel when the daemon no longer has to read the store, or when the call is a watch and a restart of it was
// requested, and returns true. It returns false when done is closed. It also cancels a long watch once the store is lost: the store may have
// swallowed it, so that it would not notice the return.
func (r *Reader) cancelWhenUnneeded(done <-chan struct{}, cancel context.CancelFunc, snapshot, long bool) bool {
	select {
	case <-r.mirror.restart:
		// Drops a restart that was requested before this call.
	default:
	}
	tick := time.NewTicker(roleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return false
		case <-r.mirror.restart:
			// A snapshot of many pages may take longer than a change is awaited, so cancelling it would repeat without end. Each of
			// its calls has a timeout.
			if !snapshot {
				cancel()
				return true
			}
		case <-tick.C:
			if !r.hasDuty(time.Now()) || (long && !snapshot && !r.mirror.Contact()) {
				cancel()
				return true
			}
		}
	}
}

// awaitDuty waits until this daemon has to read the store; it returns false when the context ends.
func (r *Reader) awaitDuty(ctx context.Context) bool {
	for {
		duty := r.hasDuty(time.Now())
		if duty != r.reading {
			r.reading = duty
			r.mirror.SetReading(duty)
			seat, seated := r.seats.Held()
			link := r.upstream.Link()
			r.logger.WithFields(logrus.Fields{
				"event": "store_reader", "reads": duty, "seated": seated, "seat": seat, "hub": link.Hub, "revision": mangorevision.Text(r.mirror.Revision()),
			}).Info("this daemon begins or ends to read the store itself")
		}
		if duty {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-r.mirror.restart:
			r.deafAt = time.Now()
		case <-time.After(roleCheckInterval):
		}
	}
}

// hasDuty reports whether this daemon has to read the store now.
func (r *Reader) hasDuty(now time.Time) bool {
	link := r.upstream.Link()
	if link.Hub != r.drawnFor.Hub || !link.Since.Equal(r.drawnFor.Since) || r.grace == 0 {
		r.drawnFor = link
		r.grace, r.unconfirmed = hubGrace+rand.N(hubGraceJitter), unconfirmedGrace+rand.N(unconfirmedJitter)
	}
	_, seated := r.seats.Held()
	if seated {
		r.seatedAt = now
	}
	return readsStore(duty{
		loaded: r.mirror.Loaded(), seated: seated, primary: r.upstream.IsPrimary(), link: link, grace: r.grace, unconfirmed: r.unconfirmed,
		deaf: now.Sub(r.deafAt) < deafTime,
	}, now)
}

// duty is what decides whether a daemon reads the store itself.
type duty struct {
	// deaf says that the changes from the hub were found within deafTime to lag behind those of the store.
	deaf bool
	// loaded says that the daemon has a complete copy of the store, seated that it holds the lease of a hub, and primary that it is
	// the hub that reads the store for all others.
	loaded, seated, primary bool
	link                    Link
	// grace is how long a daemon without such a lease waits for a hub before it reads the store itself, and unconfirmed how long it
	// waits if its hub has lost the store. Both include jitter.
	grace, unconfirmed time.Duration
}

// readsStore reports whether a daemon reads the store itself: always as the primary hub, and otherwise when it hears of no
// changes in another way.
func readsStore(d duty, now time.Time) bool {
	switch {
	case d.primary, d.seated && d.deaf, !d.loaded && !d.link.Healthy(now):
		return true
	case d.link.Confirmed(now):
		return false
	case d.seated:
		return true
	case d.link.Healthy(now):
		return now.Sub(d.link.UnconfirmedAt) > d.unconfirmed
	default:
		return now.Sub(d.link.Since) > d.grace
	}
}
