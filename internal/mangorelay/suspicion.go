package mangorelay

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangopath.org/mangopath/internal/mangocrash"
)

// computeIdentity returns what the request is known by when replicas crash: the parts of its prompt that it shares with
// others, and a hash of all that an upstream sees of it, so that repeats of the same request have the same fingerprint.
func (c *call) computeIdentity() mangocrash.Request {
	h := xxhash.New()
	for _, s := range []string{c.request.Method, c.request.Host, c.request.URI, c.customer.Name} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.request.Body)
	identity := mangocrash.Request{Fingerprint: strconv.FormatUint(h.Sum64(), 16)}
	for _, p := range c.request.PromptParts {
		// Whether a part crashes an engine depends on the model, so what is known of a part holds for one service.
		identity.Parts = append(identity.Parts, c.serviceName+"/"+p)
	}
	return identity
}

// suspectIdentity returns what may be suspected of the request: all of its identity, or only the whole request once the answer
// has begun safely.
func (c *call) suspectIdentity() mangocrash.Request {
	if c.begunSafely {
		return mangocrash.Request{Fingerprint: c.identity.Fingerprint}
	}
	return c.identity
}

// clearParts clears the parts of the prompt once the answer has begun safely. If that clears them of crashes, the other
// daemons are told.
func (c *call) clearParts() {
	if c.begunSafely || !c.inFlight.begunSafely(c.lastEventAt) {
		return
	}
	c.begunSafely = true
	if c.relay.crashes.Begin(c.identity.Parts, c.lastEventAt) {
		c.relay.peers.ReportCrash()
	}
}

// awaitClearance makes a request that was lost before its answer began wait until no part of its prompt is suspected to have
// crashed the replica. Parts that many requests share are cleared by the next answer that begins with them; the wait for others
// ends after maxClearanceWait, unless they are found to crash replicas before.
func (c *call) awaitClearance(ctx context.Context) {
	if c.started {
		return
	}
	for until := time.Now().Add(maxClearanceWait); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, clearancePoll) {
		if c.relay.crashes.Suspicion(c.identity, time.Now()) == 0 || c.isRefusedAsCrashing() {
			return
		}
	}
}

// withdrawn reports whether the answer has not begun and the request must not run any more, since it has been found to crash
// replicas after it was sent.
func (c *call) withdrawn() bool {
	return !c.started && !c.isTrial && len(c.identity.Parts) > 0 && c.isRefusedAsCrashing()
}

// RecheckSuspects makes the requests in flight that have not begun look whether they are known to crash replicas. It never
// blocks.
func (r *Relay) RecheckSuspects() { r.inFlight.wakeUnbegun() }

// clearSuspicion clears the request and the parts of its prompt after its complete answer.
func (c *call) clearSuspicion() {
	now := time.Now()
	c.relay.crashes.Complete(c.identity.Fingerprint, now)
	if c.relay.crashes.Begin(c.identity.Parts, now) {
		c.relay.peers.ReportCrash()
	}
}

// isRefusedAsCrashing reports whether the request is known to crash upstreams, or may turn out to when the reports of other
// daemons on their crashes have arrived. The parts of its prompt no longer matter once its answer has begun safely.
func (c *call) isRefusedAsCrashing() bool {
	refusal, refused := c.relay.crashes.Refuse(c.suspectIdentity(), time.Now())
	if refused {
		c.refusal = refusal
	}
	return refused
}

// refusesRepair reports whether the request must not pass through further replicas. A stream that goes on while reports are
// awaited is repaired: it has begun, and requests that crash replicas do so before that.
func (c *call) refusesRepair() bool {
	return c.isRefusedAsCrashing() && (!c.started || !c.refusal.Held)
}

// retryAfterSuspicion returns when a caller is to come back whose request was refused as one that may crash upstreams.
func (c *call) retryAfterSuspicion() time.Duration {
	if !c.refusal.Held {
		return retryAfterCondemned
	}
	return max(c.refusal.RetryAfter, minRetryAfterHeld)
}

const (
	// maxClearanceWait bounds the wait of a request until the parts of its prompt are cleared, and clearancePoll is the time
	// between two looks. An answer that begins after it is late, but not lost.
	maxClearanceWait = time.Second
	clearancePoll    = 20 * time.Millisecond
)

// minRetryAfterHeld is the shortest Retry-After of a request that is held until all reports on crashes have arrived.
const minRetryAfterHeld = 100 * time.Millisecond

// refusedPart returns the part of the prompt because of which the request was refused; empty if that is the whole request.
func (c *call) refusedPart() string {
	if i := slices.Index(c.identity.Parts, c.refusal.Fingerprint); i >= 0 {
		return c.request.PromptParts[i]
	}
	return ""
}
