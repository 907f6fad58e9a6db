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

// maxBegins bounds the records that one Run begins: each follows a send that was proved not to have run, or a record
// that its owner gave up.
const maxBegins = 4

// runNonIdempotent runs a non-idempotent call. Each record that it begins gets at most one send.
func (d *Dispatcher) runNonIdempotent(ctx context.Context, call Call) (mangoupstream.Answer, error) {
	if call.Request.IdempotencyKey == "" {
		return mangoupstream.Answer{}, newError(mangocall.KindInvalid, mangocall.Rejected, 0,
			errors.New("this profile requires the header Idempotency-Key"))
	}
	digest := Digest(call.Request)
	t := &sendHistory{excluded: map[string]bool{}}
	maps.Copy(t.excluded, call.Exclude)
	contested := false
	for begins := 0; begins < maxBegins; begins++ {
		if begins > 0 && t.lastErr != nil && !d.budget.take(call.Profile.GetName()) {
			break
		}
		ticket, err := d.ledger.Begin(ctx, call.Customer, call.Request.IdempotencyKey, digest)
		if err != nil {
			answer, again, err := d.handleBeginError(ctx, call, err)
			if !again {
				return answer, err
			}
			contested = true
			continue
		}
		contested = false
		answer, again, err := d.sendWithTicket(ctx, call, ticket, t)
		if !again {
			return answer, err
		}
		t.lastErr = err
	}
	if contested {
		// Others begin and give up records of this key; one of them may be running by now.
		return mangoupstream.Answer{}, newError(mangocall.KindInProgress, mangocall.Unknown, retryAfter, t.lastErr)
	}
	return mangoupstream.Answer{}, t.noReplicaError()
}

// sendWithTicket sends the call of a ticket once and settles the record; again means that it was proved not to have run
// and that another replica may be tried under a new record.
func (d *Dispatcher) sendWithTicket(
	ctx context.Context, call Call, ticket *mangoledger.Ticket, t *sendHistory,
) (mangoupstream.Answer, bool, error) {
	picked, ok := d.picker.Pick(call.Profile, t.excluded)
	if !ok {
		d.ledger.Abandon(ticket)
		return mangoupstream.Answer{}, false, t.noReplicaError()
	}
	t.excluded[picked.Host] = true
	// A caller that goes away does not end a call that may have started: its resend is to find the answer.
	sending, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
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
			errors.New("the dispatch bound passed before the send"))
	}
	answer, err := d.send(sending, picked, call.Request)
	switch {
	case err == nil:
		d.ledger.Finish(sending, ticket, answer.Status, answer.ContentType, answer.Body)
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

func sendErrorKind(err error) mangocall.Kind {
	var e *mangoupstream.Error
	if errors.As(err, &e) && e.Kind == mangoupstream.KindTimeout {
		return mangocall.KindDeadline
	}
	return mangocall.KindUpstream
}

// Digest identifies the request of an idempotency key: method, path, type and body.
func Digest(r mangoupstream.Request) string {
	h := sha256.New()
	for _, part := range []string{strings.ToUpper(r.Method), r.Path, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
