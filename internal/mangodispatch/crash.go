package mangodispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
)

const (
	// maxCrashes is the number of replicas that one request may crash.
	maxCrashes = 2
	// newsTime is the time for peers to learn of a crash before the caller can send the request to one of them; the
	// exchange between peers runs once per second.
	newsTime = 2 * time.Second
)

// CrashObserver is told that a replica crashed with a call of a fingerprint aboard.
type CrashObserver interface {
	Crashed(host, fingerprint string)
}

// CrashProber tells a crash from a lost connection.
type CrashProber interface {
	// Refuses reports whether the address refuses connections.
	Refuses(ctx context.Context, address string) bool
}

// WithCrashDetection sets who tells crashes from lost connections and who is told about them.
func WithCrashDetection(p CrashProber, o CrashObserver) Option {
	return func(d *Dispatcher) { d.prober, d.crashes = p, o }
}

// crashed reports whether a failed send ended with a crash of the replica, and tells the observer.
func (d *Dispatcher) crashed(ctx context.Context, picked PickedReplica, call Call, err error) bool {
	var e *mangoupstream.Error
	if d.prober == nil || !errors.As(err, &e) || e.Kind != mangoupstream.KindLost || !d.prober.Refuses(ctx, picked.Address) {
		return false
	}
	d.crashes.Crashed(picked.Host, call.Fingerprint)
	return true
}

// condemn ends a call that crashed as many replicas as it may. The answer is held back for the peers to learn of it,
// since its caller may send the request again at once.
func (d *Dispatcher) condemn(ctx context.Context, last error) error {
	select {
	case <-ctx.Done():
	case <-time.After(newsTime):
	}
	return fail(mangocall.KindQuarantine, mangocall.Rejected, 0, errors.WithMessage(last, "the request crashed upstreams"))
}
