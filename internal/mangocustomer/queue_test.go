package mangocustomer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
)

func kind(err error) mangocall.Kind {
	var e *mangocall.Error
	if errors.As(err, &e) && e.Outcome == mangocall.NotRun && e.RetryAfter > 0 {
		return e.Kind
	}
	return 0
}

// offer sends calls of a customer at an even rate and counts those that ended in time.
type offer struct {
	customer string
	weight   uint32
	every    time.Duration
	admitted atomic.Int64
	offered  atomic.Int64
}

func (o *offer) run(q *Queue, until time.Time, deadline, service time.Duration) {
	for time.Now().Before(until) {
		o.offered.Add(1)
		go func() {
			end := time.Now().Add(deadline)
			release, err := q.Acquire(context.Background(), Request{
				Customer: o.customer, Weight: o.weight, Pool: "p", Deadline: end,
			})
			if err != nil {
				return
			}
			time.Sleep(service)
			if !time.Now().After(end) {
				o.admitted.Add(1)
			}
			release()
		}()
		time.Sleep(o.every)
	}
}

// Guards against a large customer that offers ten times its share and crowds out small ones, and against slots that
// stay unused meanwhile.
func TestLargeCustomerCannotStarve(t *testing.T) {
	for _, maxQueue := range []int{20, 2000} {
		t.Run(fmt.Sprint(maxQueue), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := NewQueue(WithMaxQueue(maxQueue))
				q.SetSlots("p", 10)
				// 10 slots of 100 ms serve 100 calls/s; half belongs to the large customer, which offers 500 calls/s.
				offers := []*offer{{customer: "large", weight: 5, every: 2 * time.Millisecond}}
				for i := range 5 {
					offers = append(offers, &offer{customer: fmt.Sprint("small", i), weight: 1, every: 111 * time.Millisecond})
				}
				until := time.Now().Add(20 * time.Second)
				for _, o := range offers {
					go o.run(q, until, time.Second, 100*time.Millisecond)
				}
				time.Sleep(25 * time.Second)
				total := int64(0)
				for _, o := range offers {
					total += o.admitted.Load()
					if o.weight == 1 {
						is.True(float64(o.admitted.Load()) >= 0.99*float64(o.offered.Load()))
					}
				}
				is.True(total >= 1950)
			})
		})
	}
}

// Guards against calls that are refused after they got a slot, slots that are lost by cancelled calls, and waits past
// the deadline.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		q := NewQueue(WithMaxQueue(1))
		_, err := q.Acquire(ctx, Request{Pool: "p"})
		is.Equal(kind(err), mangocall.KindNoUpstream)
		q.SetSlots("p", 0)
		began := time.Now()
		_, err = q.Acquire(ctx, Request{Customer: "a", Pool: "p"})
		is.Equal(kind(err), mangocall.KindDeadline)
		is.Equal(time.Since(began), starveWait)
		q.SetSlots("p", 1)
		release, err := q.Acquire(ctx, Request{Customer: "a", Pool: "p"})
		is.NoErr(err)
		_, err = q.Acquire(ctx, Request{Customer: "a", Pool: "p", Deadline: time.Now().Add(time.Second)})
		is.Equal(kind(err), mangocall.KindDeadline)
		cancelled, cancel := context.WithCancel(ctx)
		time.AfterFunc(time.Second, cancel)
		_, err = q.Acquire(cancelled, Request{Customer: "a", Pool: "p"})
		is.Equal(kind(err), mangocall.KindCancelled)
		go func() {
			_, err := q.Acquire(ctx, Request{Customer: "a", Pool: "p"})
			is.NoErr(err)
		}()
		synctest.Wait()
		_, err = q.Acquire(ctx, Request{Customer: "a", Pool: "p"})
		is.Equal(kind(err), mangocall.KindOverload)
		release()
		release()
		synctest.Wait()
		is.Equal(q.Loads()["p"].Running, 1)
		_, err = q.Acquire(ctx, Request{Customer: "b", Pool: "p", Deadline: time.Now().Add(time.Second)})
		is.Equal(kind(err), mangocall.KindOverload)
		is.Equal(q.Loads()["p"].Queued, 0)
	})
}

// Guards against estimates that take all calls for equally long: short calls were refused although they could finish
// in time, and long ones started that could not.
func TestEstimateByCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		q := NewQueue()
		q.SetSlots("p", 1)
		acquire := func(cost float64, within time.Duration) (func(), error) {
			return q.Acquire(ctx, Request{Customer: "a", Pool: "p", Cost: cost, Deadline: time.Now().Add(within)})
		}
		release, err := acquire(20, time.Minute)
		is.NoErr(err)
		time.Sleep(2 * time.Second) // 100 ms for each unit of cost
		release()
		running, err := acquire(20, time.Minute)
		is.NoErr(err)
		short, long := make(chan error, 1), make(chan error, 1)
		go func() {
			release, err := acquire(5, 2600*time.Millisecond)
			short <- err
			if err == nil {
				time.Sleep(4 * time.Second)
				release()
			}
		}()
		synctest.Wait()
		is.Equal(q.Loads()["p"].Queued, 1) // 2 s of wait and 0.5 s of service
		go func() {
			_, err := acquire(50, 10*time.Second)
			long <- err
		}()
		time.Sleep(2 * time.Second)
		running()
		is.NoErr(<-short)
		is.Equal(kind(<-long), mangocall.KindDeadline) // 4 s are left of its 5 s
	})
}

// Guards against a class of calls that is refused for as long as an overload lasts, because one slow call raised its
// estimate above the deadline of all.
func TestEstimateRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		q := NewQueue()
		q.SetSlots("p", 2)
		request := func(class string, within time.Duration) Request {
			return Request{Customer: "a", Pool: "p", Class: class, Deadline: time.Now().Add(within)}
		}
		slow, err := q.Acquire(ctx, request("x", time.Minute))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		slow()
		for range 2 {
			_, err := q.Acquire(ctx, request("y", time.Hour))
			is.NoErr(err)
		}
		refused := 0
		for range 500 {
			r := request("x", 1500*time.Millisecond)
			q.mu.Lock()
			failed := q.admit(&waiter{lane: q.lanes["p"], class: "x", cost: 1}, r, 1, time.Now())
			q.mu.Unlock()
			if failed == nil {
				break
			}
			refused++
		}
		is.True(refused > 0 && refused < 200)
	})
}
