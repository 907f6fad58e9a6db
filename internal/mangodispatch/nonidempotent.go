package mangodispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// maxBegins bounds how often one Run tries to begin a record. It tries again after a send that provably did not run, and
// after the owner of the existing record abandoned it.
const maxBegins = 4

// runNonIdempotent runs a non-idempotent call, or waits for the result if it was submitted before. Each record that it
// begins allows at most one send.
func (d *Dispatcher) runNonIdempotent(ctx context.Context, call Call) (mangoupstream.Answer, error) {
	if call.Request.IdempotencyKey == "" {
		return mangoupstream.Answer{}, newError(mangocall.KindInvalid, mangocall.Rejected, 0,
			errors.New("the request lacks the header Idempotency-Key, which its profile requires"))
	}
	digest := Digest(call.Request)
	history := &sendHistory{excluded: map[string]bool{}}
	maps.Copy(history.excluded, call.Exclude)
	recordExists := false
	for begins := 0; begins < maxBegins; begins++ {
		if begins > 0 && history.lastErr != nil && !d.budget.take(call.Profile.GetName()) {
			break
		}
		ticket, err := d.ledger.Begin(ctx, call.Customer, call.Request.IdempotencyKey, digest)
		if err != nil {
			answer, retry, err := d.handleBeginError(ctx, call, err)
			if !retry {
				return answer, err
			}
			recordExists = true
			continue
		}
		recordExists = false
		answer, retry, err := d.sendWithTicket(ctx, call, ticket, history)
		if !retry {
			return answer, err
		}
		history.lastErr = err
	}
	if recordExists {
		// Other submissions keep beginning and abandoning records of this key; one of them may be running by now.
		return mangoupstream.Answer{}, newError(mangocall.KindInProgress, mangocall.Unknown, retryAfter, history.lastErr)
	}
	return mangoupstream.Answer{}, history.noReplicaError()
}

// sendWithTicket sends a call once and writes the result to the record that the ticket stands for. It returns true if the
// send provably did not run, so that another replica may be tried under a new record.
func (d *Dispatcher) sendWithTicket(
	ctx context.Context, call Call, ticket *mangoledger.Ticket, history *sendHistory,
) (mangoupstream.Answer, bool, error) {
	picked, ok := d.picker.Pick(call.Profile, history.excluded)
	if !ok {
		d.ledger.Abandon(ticket)
		return mangoupstream.Answer{}, false, history.noReplicaError()
	}
	history.excluded[picked.Host] = true
	// If the caller disconnects, a call that may have started goes on, so that a resend finds the answer.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	if err := ctx.Err(); err != nil {
		picked.Release()
		d.ledger.Abandon(ticket)
		return mangoupstream.Answer{}, false, newError(contextErrorKind(err), mangocall.NotRun, 0, err)
	}
	if !ticket.MayDispatch(time.Now()) {
		picked.Release()
		d.ledger.Abandon(ticket)
		return mangoupstream.Answer{}, false, newError(mangocall.KindPlatform, mangocall.NotRun, retryAfter,
			errors.New("the time in which the ticket allows a send had passed"))
	}
	answer, err := d.send(sendCtx, picked, call.Request)
	switch {
	case err == nil:
		d.ledger.Finish(sendCtx, ticket, answer.Status, answer.ContentType, answer.Body)
		d.budget.recordSuccess(call.Profile.GetName())
		return answer, false, nil
	case provesNotRun(err):
		d.ledger.Abandon(ticket)
		return mangoupstream.Answer{}, true, err
	default:
		d.ledger.MarkUnknown(ticket)
		d.reportIfCrashed(ctx, picked, call, err)
		return mangoupstream.Answer{}, false, newError(sendErrorKind(err), mangocall.Unknown, 0, err)
	}
}

// sendErrorKind returns the kind of error for a send whose request may have run.
func sendErrorKind(err error) mangocall.Kind {
	var e *mangoupstream.Error
	if errors.As(err, &e) && e.Kind == mangoupstream.KindTimeout {
		return mangocall.KindDeadline
	}
	return mangocall.KindUpstream
}

// Digest returns a hash of the method, path, content type and body of a request. A resend under the same idempotency key
// must have the same digest.
func Digest(r mangoupstream.Request) string {
	h := sha256.New()
	for _, part := range []string{strings.ToUpper(r.Method), r.Path, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
