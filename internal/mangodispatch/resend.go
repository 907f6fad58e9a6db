package mangodispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// maxFailedQueries is the number of consecutive failed queries after which the owner of a record counts as unreachable.
const maxFailedQueries = 3

// handleBeginError handles a Begin that failed because the key has a record already or the store is unavailable. It returns
// the answer or the final error of the call, or true if Begin may succeed now.
func (d *Dispatcher) handleBeginError(ctx context.Context, call Call, err error) (mangoupstream.Answer, bool, error) {
	record := mangoledger.RecordOf(err)
	noAnswer := mangoupstream.Answer{}
	switch mangoledger.ErrorKind(err) {
	case mangoledger.KindUnavailable, mangoledger.KindPending:
		return noAnswer, false, newError(mangocall.KindPlatform, outcomeWithoutRecord(call), retryAfter, err)
	case mangoledger.KindMismatch:
		return noAnswer, false, newError(mangocall.KindMismatch, mangocall.Rejected, 0, err)
	case mangoledger.KindInvalid:
		return noAnswer, false, newError(mangocall.KindInvalid, mangocall.Rejected, 0, err)
	case mangoledger.KindDone:
		if record.GetAnswerDigest() == "" {
			return answerFromRecord(record), false, nil
		}
		// The answer was too large for the record; only the owner may still have it in memory.
		return d.waitForOwner(ctx, call, record)
	case mangoledger.KindStarted:
		return d.waitForOwner(ctx, call, record)
	case mangoledger.KindContended:
		return noAnswer, false, newError(mangocall.KindPlatform, mangocall.Unknown, retryAfter, err)
	case mangoledger.KindCorrupt:
	}
	return noAnswer, false, newError(mangocall.KindPlatform, mangocall.Unknown, 0, err)
}

// outcomeWithoutRecord returns the outcome of a call that was not sent and whose record this process does not hold. An
// earlier submission of the key may have run or may still run on another entry host, even if no record was found, since that
// host may be about to write it. Only the caller can exclude this.
func outcomeWithoutRecord(call Call) mangocall.Outcome {
	if call.FirstSubmission {
		return mangocall.NotRun
	}
	return mangocall.Unknown
}

// answerFromRecord returns the answer that a record holds.
func answerFromRecord(r *mangomessage.Record) mangoupstream.Answer {
	return mangoupstream.Answer{Status: int(r.GetAnswerStatus()), ContentType: r.GetAnswerType(), Body: r.GetAnswer()}
}

// waitForOwner queries the owner of a record until it knows the result, the deadline passes or the owner counts as
// unreachable. It returns true if the owner abandoned the attempt, so that the call may be begun again.
func (d *Dispatcher) waitForOwner(ctx context.Context, call Call, record *mangomessage.Record) (mangoupstream.Answer, bool, error) {
	noAnswer := mangoupstream.Answer{}
	wasRunning := false
	for failedQueries := 0; ; {
		reply, err := d.queryStatus(ctx, call, record)
		if err != nil {
			failedQueries++
		}
		switch reply.GetState() {
		case mangoledger.StateDone:
			return answerFromReply(reply, record)
		case mangoledger.StateNotRun:
			d.ledger.ConfirmNotRun(record.GetAttempt())
			if wasRunning {
				// This submission arrived before the attempt was abandoned, so both callers get the same outcome.
				return noAnswer, false, newError(mangocall.KindUpstream, mangocall.NotRun, retryAfter,
					errors.New("the attempt that this submission waited for was abandoned without a run"))
			}
			return noAnswer, true, nil
		case mangoledger.StateRunning:
			failedQueries, wasRunning = 0, true
		case mangoledger.StateUnknown:
			return noAnswer, false, resultUnavailableError(record, errors.New("the owner of the record does not know the result"))
		}
		if failedQueries >= maxFailedQueries {
			return noAnswer, false, resultUnavailableError(record, err)
		}
		select {
		case <-ctx.Done():
			return noAnswer, false, newError(mangocall.KindInProgress, mangocall.Unknown, retryAfter, ctx.Err())
		case <-time.After(d.pollInterval):
		}
	}
}

// answerFromReply returns the answer in the reply of a record's owner.
func answerFromReply(reply *mangomessage.StatusReply, record *mangomessage.Record) (mangoupstream.Answer, bool, error) {
	if reply.GetBodyDigest() != record.GetBodyDigest() {
		return mangoupstream.Answer{}, false, resultUnavailableError(record, errors.New("the owner of the record answered for a request with another digest"))
	}
	return mangoupstream.Answer{
		Status: int(reply.GetAnswerStatus()), ContentType: reply.GetAnswerType(), Body: reply.GetAnswer(),
	}, false, nil
}

// resultUnavailableError returns the error of a resend whose answer cannot be obtained; the call is not sent again.
func resultUnavailableError(record *mangomessage.Record, err error) error {
	if record.GetState() == mangoledger.StateDone {
		err = errors.WithMessage(err, "the call ran, but its answer is no longer available")
	}
	return newError(mangocall.KindInProgress, mangocall.Unknown, 0, err)
}

// queryStatus returns the status of an attempt. It looks into the ledger of this process, which may own the record, before
// it queries the owner.
func (d *Dispatcher) queryStatus(ctx context.Context, call Call, record *mangomessage.Record) (*mangomessage.StatusReply, error) {
	key := call.Request.IdempotencyKey
	reply := d.ledger.Lookup(call.Customer, key, record.GetAttempt())
	if reply.GetState() != mangoledger.StateUnknown {
		return reply, nil
	}
	return d.statusClient.QueryStatus(ctx, record.GetOwnerAddress(), &mangomessage.StatusRequest{
		Customer: call.Customer, Key: key, Attempt: record.GetAttempt(),
	})
}
