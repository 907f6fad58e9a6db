package mangoledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a second dispatch of a call, and a key that stays blocked or is lost, after a fault at any step of Begin:
// grant, put or read back.
func TestBeginAfterLostRequestsAndReplies(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name   string
		faults []fault
		// first is the kind of the first Begin, and second that of a resend to the same daemon.
		first  Kind
		second Kind
	}{
		{"no fault", nil, 0, KindStarted},
		{"grant fails", []fault{unavailable}, KindUnavailable, 0},
		{"put refused", []fault{noFault, unavailable}, KindUnavailable, 0},
		{"reply lost after the effect", []fault{noFault, replyLost}, 0, KindStarted},
		{"request lost", []fault{noFault, requestLost}, 0, KindStarted},
		{"reply and read back lost", []fault{noFault, replyLost, unavailable}, KindPending, 0},
		{"request and read back lost", []fault{noFault, requestLost, unavailable}, KindPending, 0},
		{"write takes effect late", []fault{noFault, appliedLate}, 0, KindStarted},
		{"write takes effect after it was given up", []fault{noFault, appliedLate, unavailable}, KindPending, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := newFakeStore()
			l := New(store, "a", "127.0.0.1:1")
			store.setFaults(tt.faults...)
			_, err := l.Begin(ctx, "c", "k", "d")
			is.Equal(ErrorKind(err), tt.first)
			store.mu.Lock()
			store.applyLateWrites()
			store.mu.Unlock()
			_, err = l.Begin(ctx, "c", "k", "d")
			is.Equal(ErrorKind(err), tt.second)
			_, err = New(store, "b", "127.0.0.1:2").Begin(ctx, "c", "k", "d")
			is.Equal(ErrorKind(err), KindStarted)
			_, err = New(store, "b", "127.0.0.1:2").Begin(ctx, "c", "k", "other")
			is.Equal(ErrorKind(err), KindMismatch)
		})
	}
}

// Guards against a dispatch after the deadline, as by a process that was paused, a second dispatch with one ticket, and
// records that are attached to a lease after its period.
func TestTicketDeadlineAndLeasePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		store := newFakeStore()
		l := New(store, "a", "127.0.0.1:1", WithDispatchBound(time.Second))
		first, err := l.Begin(ctx, "c", "1", "d")
		is.NoErr(err)
		is.True(first.MayDispatch(time.Now()))
		is.True(!first.MayDispatch(time.Now()))
		second, err := l.Begin(ctx, "c", "2", "d")
		is.NoErr(err)
		is.Equal(store.grants, 1)
		time.Sleep(time.Second)
		is.True(!second.MayDispatch(time.Now()))
		time.Sleep(10 * time.Minute)
		_, err = l.Begin(ctx, "c", "3", "d")
		is.NoErr(err)
		is.Equal(store.grants, 2)
	})
}

// Guards against answers that are lost in a store outage, and against large answers that fill the store or the memory.
func TestAnswersSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		store := newFakeStore()
		l := New(store, "a", "127.0.0.1:1", WithCacheBytes(200<<10))
		go func() { ended <- l.Run(ctx) }()
		sizes := []int{10, maxAnswerBytes, maxAnswerBytes + 1, 100 << 10}
		for i, n := range sizes {
			ticket, err := l.Begin(ctx, "c", fmt.Sprint(i), "d")
			is.NoErr(err)
			store.mu.Lock()
			store.defaultFault = replyLost
			store.mu.Unlock()
			l.Finish(ctx, ticket, 201, "text/plain", make([]byte, n))
			time.Sleep(time.Minute)
			_, err = l.Begin(ctx, "c", fmt.Sprint(i), "d")
			is.Equal(ErrorKind(err), KindDone)
			is.Equal(len(RecordOf(err).Answer), n)
			store.mu.Lock()
			store.defaultFault = noFault
			store.mu.Unlock()
			is.NoErr(l.Flush(ctx))
		}
		is.True(l.calls.endedBytes <= 200<<10)
		for i, n := range sizes {
			_, err := New(store, "b", "127.0.0.1:2").Begin(ctx, "c", fmt.Sprint(i), "d")
			is.Equal(ErrorKind(err), KindDone)
			r := RecordOf(err)
			is.Equal(len(r.Answer) == n, n <= maxAnswerBytes)
			is.Equal(r.AnswerDigest != "", n > maxAnswerBytes)
		}
		cancel()
		is.Equal(<-ended, context.Canceled)
	})
}

// Runs random calls on three daemons that restart, with a faulty store, and compares them with a map of the executed calls.
// Guards against a call that runs twice, a wrong answer, and a NotRun for a call that ran.
func TestAtMostOnceAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := newFakeStore()
		ledgers := make([]*Ledger, 3)
		ran := map[string]string{}
		for i := range 40 {
			n := rapid.IntRange(0, 2).Draw(t, "daemon")
			if ledgers[n] == nil {
				ledgers[n] = New(store, fmt.Sprint(n), "")
			}
			l, key := ledgers[n], fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			store.setFaults(rapid.SliceOfN(rapid.SampledFrom([]fault{noFault, noFault, unavailable, replyLost, requestLost, appliedLate}), 0, 5).Draw(t, "faults")...)
			ticket, err := l.Begin(ctx, "c", key, "d")
			if err == nil && ran[key] != "" {
				t.Fatalf("step %d: second dispatch of %s", i, key)
			}
			if ErrorKind(err) == KindDone && string(RecordOf(err).Answer) != ran[key] {
				t.Fatalf("step %d: wrong answer for %s", i, key)
			}
			if ErrorKind(err) == KindStarted {
				r := RecordOf(err)
				for m, o := range ledgers {
					if o == nil || fmt.Sprint(m) != r.Owner {
						continue
					}
					reply := o.Lookup("c", key, r.Attempt)
					if reply.State == StateNotRun {
						l.ConfirmNotRun(r.Attempt)
					}
					if reply.State == StateDone && string(reply.Answer) != ran[key] {
						t.Fatalf("step %d: owner has a wrong answer for %s", i, key)
					}
				}
			}
			if ticket != nil {
				endTicket(t, l, ticket, ran)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				ledgers[n] = nil
			}
			store.applyLateWrites()
			tryQueuedWrites(ctx, l)
		}
	})
}

// endTicket ends a ticket as a dispatcher may: it abandons, loses or finishes the call, or does nothing.
func endTicket(t *rapid.T, l *Ledger, ticket *Ticket, ran map[string]string) {
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		l.Abandon(ticket)
	case 1:
		ran[ticket.Key] = "lost"
		l.MarkUnknown(ticket)
	case 2:
		ran[ticket.Key] = ticket.Attempt
		l.Finish(context.Background(), ticket, 200, "", []byte(ticket.Attempt))
	}
}

// tryQueuedWrites tries each queued background write once and queues those again that should be retried.
func tryQueuedWrites(ctx context.Context, l *Ledger) {
	for range len(l.writes) {
		w := <-l.writes
		if !l.tryWrite(ctx, w) {
			l.writes <- w
		}
	}
}
