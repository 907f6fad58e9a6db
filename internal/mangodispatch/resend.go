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

// maxSilent is the number of failed questions after which the owner of a record counts as gone.
const maxSilent = 3

// existing handles a Begin that found the key in use or the store away; again means that Begin may succeed now.
func (d *Dispatcher) existing(ctx context.Context, call Call, err error) (mangoupstream.Answer, bool, error) {
	record := mangoledger.RecordOf(err)
	none := mangoupstream.Answer{}
	switch mangoledger.ErrorKind(err) {
	case mangoledger.KindUnavailable, mangoledger.KindPending:
		return none, false, fail(mangocall.KindPlatform, withoutRecord(call), retryAfter, err)
	case mangoledger.KindMismatch:
		return none, false, fail(mangocall.KindMismatch, mangocall.Rejected, 0, err)
	case mangoledger.KindInvalid:
		return none, false, fail(mangocall.KindInvalid, mangocall.Rejected, 0, err)
	case mangoledger.KindDone:
		if record.GetAnswerDigest() == "" {
			return recorded(record), false, nil
		}
		// Only the owner's memory may still have an answer that is too large for a record.
		return d.wait(ctx, call, record)
	case mangoledger.KindStarted:
		return d.wait(ctx, call, record)
	case mangoledger.KindContended:
		return none, false, fail(mangocall.KindPlatform, mangocall.Unknown, retryAfter, err)
	case mangoledger.KindCorrupt:
	}
	return none, false, fail(mangocall.KindPlatform, mangocall.Unknown, 0, err)
}

// withoutRecord is the outcome of a call that was not sent and whose record this process does not hold. An earlier
// submission of the key may have run or may still run on another entry host, even when the record was read as absent:
// that host may be about to write it. Only the caller can exclude this.
func withoutRecord(call Call) mangocall.Outcome {
	if call.FirstSubmission {
		return mangocall.NotRun
	}
	return mangocall.Unknown
}

func recorded(r *mangomessage.Record) mangoupstream.Answer {
	return mangoupstream.Answer{Status: int(r.GetAnswerStatus()), ContentType: r.GetAnswerType(), Body: r.GetAnswer()}
}

// wait asks the owner of a record until it knows the result, the deadline passes or the owner counts as gone.
func (d *Dispatcher) wait(ctx context.Context, call Call, record *mangomessage.Record) (mangoupstream.Answer, bool, error) {
	none := mangoupstream.Answer{}
	ran := false
	for silent := 0; ; {
		reply, err := d.ask(ctx, call, record)
		if err != nil {
			silent++
		}
		switch reply.GetState() {
		case mangoledger.StateDone:
			return answered(reply, record)
		case mangoledger.StateNotRun:
			d.ledger.Confirm(record.GetAttempt())
			if ran {
				// Both submissions were there when the attempt was given up, so both callers get the same answer.
				return none, false, fail(mangocall.KindUpstream, mangocall.NotRun, retryAfter,
					errors.New("the attempt that this submission waited for was given up"))
			}
			return none, true, nil
		case mangoledger.StateRunning:
			silent, ran = 0, true
		case mangoledger.StateUnknown:
			return none, false, gone(record, errors.New("the owner does not know the result"))
		}
		if silent >= maxSilent {
			return none, false, gone(record, err)
		}
		select {
		case <-ctx.Done():
			return none, false, fail(mangocall.KindInProgress, mangocall.Unknown, retryAfter, ctx.Err())
		case <-time.After(d.poll):
		}
	}
}

func answered(reply *mangomessage.StatusReply, record *mangomessage.Record) (mangoupstream.Answer, bool, error) {
	if reply.GetBodyDigest() != record.GetBodyDigest() {
		return mangoupstream.Answer{}, false, gone(record, errors.New("the owner answered for another body"))
	}
	return mangoupstream.Answer{
		Status: int(reply.GetAnswerStatus()), ContentType: reply.GetAnswerType(), Body: reply.GetAnswer(),
	}, false, nil
}

// gone is the error of a resend whose answer cannot be had; the call is not sent again.
func gone(record *mangomessage.Record, err error) error {
	if record.GetState() == mangoledger.StateDone {
		err = errors.WithMessage(err, "the call ran and its answer is no longer kept")
	}
	return fail(mangocall.KindInProgress, mangocall.Unknown, 0, err)
}

// ask looks in this process first, which also serves records of its own, and then asks the owner.
func (d *Dispatcher) ask(ctx context.Context, call Call, record *mangomessage.Record) (*mangomessage.StatusReply, error) {
	key := call.Request.IdempotencyKey
	reply := d.ledger.Lookup(call.Customer, key, record.GetAttempt())
	if reply.GetState() != mangoledger.StateUnknown {
		return reply, nil
	}
	return d.asker.QueryStatus(ctx, record.GetOwnerAddress(), &mangomessage.StatusRequest{
		Customer: call.Customer, Key: key, Attempt: record.GetAttempt(),
	})
}
