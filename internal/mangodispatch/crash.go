package mangodispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
)

const (
	// maxCrashes is the number of replicas that a request may crash before it is rejected.
	maxCrashes = 2
	// crashPropagationTime is how long the error is held back, so that the peers know of the crash before the caller can
	// send the request to one of them. The exchange between peers runs once per second.
	crashPropagationTime = 2 * time.Second
)

// CrashObserver receives the crashes of replicas.
type CrashObserver interface {
	// Crashed reports that a host crashed while a request with the fingerprint was in flight there.
	Crashed(host, fingerprint string)
}

// CrashProber finds out whether a lost connection was due to a crash.
type CrashProber interface {
	// RefusesConnections reports whether the address refuses connections, as it does after a crash.
	RefusesConnections(ctx context.Context, address string) bool
}

// WithCrashDetection makes a dispatcher check lost connections for crashes and report the crashes to an observer.
func WithCrashDetection(p CrashProber, o CrashObserver) Option {
	return func(d *Dispatcher) { d.prober, d.crashObserver = p, o }
}

// reportIfCrashed returns whether a failed send ended with a crash of the replica, and reports a crash to the observer.
func (d *Dispatcher) reportIfCrashed(ctx context.Context, picked PickedReplica, call Call, err error) bool {
	var e *mangoupstream.Error
	if d.prober == nil || !errors.As(err, &e) || e.Kind != mangoupstream.KindLost || !d.prober.RefusesConnections(ctx, picked.Address) {
		return false
	}
	d.crashObserver.Crashed(picked.Host, call.Fingerprint)
	return true
}

// recheckSilent checks the silent replicas of a request that has crashed one. A replica that is slow to end breaks its connection only
// after the timeout of the send, so its crash has not been counted, and the request would crash a third one.
func (d *Dispatcher) recheckSilent(ctx context.Context, call Call, h *sendHistory) {
	if d.prober == nil || h.crashes == 0 {
		return
	}
	h.silent = slices.DeleteFunc(h.silent, func(r PickedReplica) bool {
		if h.crashes >= maxCrashes || !d.prober.RefusesConnections(ctx, r.Address) {
			return false
		}
		d.crashObserver.Crashed(r.Host, call.Fingerprint)
		h.crashes++
		return true
	})
}

// rejectAfterCrashes returns the error of a call that crashed maxCrashes replicas. It first waits for the peers to learn of
// the crashes, since the caller may send the request to one of them at once.
func (d *Dispatcher) rejectAfterCrashes(ctx context.Context, lastErr error) error {
	select {
	case <-ctx.Done():
	case <-time.After(crashPropagationTime):
	}
	return newError(mangocall.KindQuarantine, mangocall.Rejected, 0, errors.WithMessage(lastErr, "the request crashed upstreams"))
}
