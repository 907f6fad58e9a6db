package mangodispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoledger"
	"mangopath.org/mangopath/internal/mangostore"
	"mangopath.org/mangopath/internal/mangoupstream"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// fakeStore is a store in memory that can be made unavailable.
type fakeStore struct {
	mangostore.Store
	mu    sync.Mutex
	items map[string]mangostore.Item
	down  bool
	// readable says that reads succeed even while the store is down.
	readable bool
}

// setAllStates sets the state of all stored records.
func (f *fakeStore) setAllStates(tb testing.TB, state string) {
	tb.Helper()
	for k, item := range f.items {
		r := &mangomessage.Record{}
		if err := proto.Unmarshal(item.Value, r); err != nil {
			tb.Fatal(err)
		}
		r.State = state
		item.Value, _ = proto.Marshal(r)
		f.items[k] = item
	}
}

func (f *fakeStore) err(op string) error {
	if f.down {
		return &mangostore.Error{Op: op, Kind: mangostore.KindUnavailable}
	}
	return nil
}

func (f *fakeStore) Grant(context.Context, time.Duration) (uint64, error) { return 1, f.err("Grant") }

func (f *fakeStore) Get(_ context.Context, key string) (mangostore.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readable {
		return f.items[key], nil
	}
	return f.items[key], f.err("Get")
}

func (f *fakeStore) Put(_ context.Context, item mangostore.Item) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items[item.Key].Version != item.Version {
		return 0, &mangostore.Error{Op: "Put", Kind: mangostore.KindConflict}
	}
	if err := f.err("Put"); err != nil {
		return 0, err
	}
	item.Version++
	f.items[item.Key] = item
	return item.Version, nil
}

// fakeService takes a delay for each call. It fails with each kind of failures in turn and then answers.
type fakeService struct {
	failures []mangoupstream.Kind
	delay    time.Duration
	// sent has the address of each send.
	sent []string
	// ran is the number of sends that ran, with or without an answer.
	ran int
}

func (f *fakeService) Call(_ context.Context, address string, r mangoupstream.Request) (mangoupstream.Answer, error) {
	f.sent = append(f.sent, address)
	time.Sleep(f.delay)
	if len(f.failures) > 0 {
		k := f.failures[0]
		f.failures = f.failures[1:]
		if k == mangoupstream.KindLost {
			f.ran++
		}
		return mangoupstream.Answer{}, &mangoupstream.Error{Op: "Call", Kind: k}
	}
	f.ran++
	return mangoupstream.Answer{Status: 201, ContentType: "text/plain", Body: r.Body}, nil
}

// fixedReplicas is a ReplicaSource with the same replicas for every profile.
type fixedReplicas []Replica

func (f fixedReplicas) Usable(*mangomessage.Profile) []Replica { return f }

// ledgerStatusClient looks up attempts in the ledger of another daemon, which is unreachable if owner is nil.
type ledgerStatusClient struct{ owner *mangoledger.Ledger }

func (a ledgerStatusClient) QueryStatus(_ context.Context, _ string, r *mangomessage.StatusRequest) (*mangomessage.StatusReply, error) {
	if a.owner == nil {
		return nil, errors.New("unreachable")
	}
	return a.owner.Lookup(r.GetCustomer(), r.GetKey(), r.GetAttempt()), nil
}

var replicas = fixedReplicas{{Host: "x", Address: "x"}, {Host: "y", Address: "y"}, {Host: "z", Address: "z"}}

// testCall returns a call of a profile that is idempotent or not.
func testCall(nonIdempotent bool, key string) Call {
	return Call{
		ID: "1", Customer: "c", Profile: &mangomessage.Profile{Name: "p", NonIdempotent: nonIdempotent, DeadlineMs: 10000},
		Request: mangoupstream.Request{Method: "POST", Path: "/book", Body: []byte("b"), IdempotencyKey: key},
	}
}

// outcomeOf returns the outcome of an error, or an empty one if the call was answered.
func outcomeOf(err error) mangocall.Outcome {
	var e *mangocall.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return ""
}

// Guards against a second run of a non-idempotent call when it is retried or resent, against the outcome NotRun for a call
// that ran, and against a retry on a replica that failed.
func TestOutcomeAndReplayOfCalls(t *testing.T) {
	const notSent, refused, lost = mangoupstream.KindNotSent, mangoupstream.KindRefused, mangoupstream.KindLost
	tests := []struct {
		name          string
		nonIdempotent bool
		key           string
		down          bool
		failures      []mangoupstream.Kind
		outcome       mangocall.Outcome
		sent          int
		resendOutcome mangocall.Outcome
		ran           int
	}{
		{"no key", true, "", false, nil, mangocall.Rejected, 0, mangocall.Rejected, 0},
		{"answer is replayed", true, "k", false, nil, "", 1, "", 1},
		{"store down", true, "k", true, nil, mangocall.Unknown, 0, mangocall.Unknown, 0},
		{"not sent, then another replica", true, "k", false, []mangoupstream.Kind{notSent, refused}, "", 3, "", 1},
		{"all refuse", true, "k", false, []mangoupstream.Kind{refused, refused, refused}, mangocall.NotRun, 3, "", 1},
		{"lost", true, "k", false, []mangoupstream.Kind{lost}, mangocall.Unknown, 1, mangocall.Unknown, 1},
		{"idempotent lost, then answer", false, "", false, []mangoupstream.Kind{lost, lost}, "", 3, "", 4},
		{"idempotent all lost", false, "", false, []mangoupstream.Kind{lost, notSent, lost}, mangocall.Unknown, 3, "", 3},
		{"idempotent none sent", false, "", false, []mangoupstream.Kind{notSent, notSent, notSent}, mangocall.NotRun, 3, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{items: map[string]mangostore.Item{}, down: tt.down}
				service := &fakeService{failures: tt.failures}
				d := New(service, NewBalancer(replicas), mangoledger.New(store, "a", "a"), ledgerStatusClient{})
				_, err := d.Run(t.Context(), testCall(tt.nonIdempotent, tt.key))
				is.Equal(outcomeOf(err), tt.outcome)
				is.Equal(len(service.sent), tt.sent)
				sentTo := map[string]bool{}
				for _, a := range service.sent {
					is.True(!sentTo[a])
					sentTo[a] = true
				}
				_, err = d.Run(t.Context(), testCall(tt.nonIdempotent, tt.key))
				is.Equal(outcomeOf(err), tt.resendOutcome)
				is.Equal(service.ran, tt.ran)
			})
		})
	}
}

// Guards against the outcome NotRun for a key that may have run elsewhere, and against Unknown if the caller states that it
// sends the key for the first time. The store cannot be written, so no record is begun.
func TestOutcomeWithoutRecord(t *testing.T) {
	tests := []struct {
		name        string
		first       bool
		storedState string
		unreadable  bool
		outcome     mangocall.Outcome
	}{
		{"first, unreadable", true, "", true, mangocall.NotRun},
		{"resend, unreadable", false, "", true, mangocall.Unknown},
		{"first, absent", true, "", false, mangocall.NotRun},
		{"resend, absent", false, "", false, mangocall.Unknown},
		{"first, abandoned by another daemon", true, mangoledger.StateNotRun, false, mangocall.Unknown},
		{"resend, done", false, mangoledger.StateDone, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{items: map[string]mangostore.Item{}}
			c := testCall(true, "k")
			c.FirstSubmission = tt.first
			if tt.storedState != "" {
				otherLedger := mangoledger.New(store, "b", "b")
				_, err := otherLedger.Begin(t.Context(), c.Customer, "k", Digest(c.Request))
				is.NoErr(err)
				store.setAllStates(t, tt.storedState)
			}
			store.down, store.readable = true, !tt.unreadable
			d := New(&fakeService{}, NewBalancer(replicas), mangoledger.New(store, "a", "a"), ledgerStatusClient{})
			_, err := d.Run(t.Context(), c)
			is.Equal(outcomeOf(err), tt.outcome)
		})
	}
}

// Guards against a second run, or a resend without the answer, when a resend reaches another daemon while the first daemon
// runs the call, or after it has finished or abandoned the call or has become unreachable.
func TestResendToOtherDaemon(t *testing.T) {
	tests := []struct {
		name        string
		failures    []mangoupstream.Kind
		delay       time.Duration
		unreachable bool
		outcome     mangocall.Outcome
		ran         int
	}{
		{"running", nil, time.Second, false, "", 1},
		{"done", nil, 0, false, "", 1},
		{"running past the deadline", nil, time.Minute, false, mangocall.Unknown, 1},
		{"abandoned", []mangoupstream.Kind{mangoupstream.KindRefused}, 0, false, "", 1},
		{"abandoned during the wait", []mangoupstream.Kind{mangoupstream.KindRefused}, time.Second, false, mangocall.NotRun, 0},
		{"lost", []mangoupstream.Kind{mangoupstream.KindLost}, 0, false, mangocall.Unknown, 1},
		{"owner unreachable", nil, 0, true, mangocall.Unknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{items: map[string]mangostore.Item{}}
				service := &fakeService{failures: tt.failures, delay: tt.delay}
				owner := mangoledger.New(store, "a", "a")
				first := New(service, NewBalancer(replicas[:1]), owner, ledgerStatusClient{})
				firstEnded := make(chan struct{})
				go func() {
					defer close(firstEnded)
					_, _ = first.Run(context.Background(), testCall(true, "k"))
				}()
				synctest.Wait()
				statusClient := ledgerStatusClient{owner}
				if tt.unreachable {
					statusClient = ledgerStatusClient{}
				}
				second := New(service, NewBalancer(replicas), mangoledger.New(store, "b", "b"), statusClient)
				answer, err := second.Run(t.Context(), testCall(true, "k"))
				is.Equal(outcomeOf(err), tt.outcome)
				if err == nil {
					is.Equal(string(answer.Body), "b")
					is.Equal(answer.Status, 201)
				}
				<-firstEnded
				is.Equal(service.ran, tt.ran)
			})
		})
	}
}

// Guards against retries that multiply the load when all replicas fail.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	service := &fakeService{}
	for range 400 {
		service.failures = append(service.failures, mangoupstream.KindNotSent)
	}
	d := New(service, NewBalancer(replicas), nil, ledgerStatusClient{})
	for range 100 {
		_, err := d.Run(t.Context(), testCall(false, ""))
		is.Equal(outcomeOf(err), mangocall.NotRun)
	}
	is.Equal(len(service.sent), 100+maxProfileRetries)
}

// Guards against picking a loaded replica, an excluded one, or a remote one while there is a local one, and against calls
// that are still counted as in flight after Release or are released twice.
func TestBalancerPicksLessLoadedLocalReplica(t *testing.T) {
	is := is.New(t)
	b := NewBalancer(fixedReplicas{{Host: "x", PeerInFlight: 9}, {Host: "y"}, {Host: "remote", Remote: true}})
	for range 9 {
		p, ok := b.Pick(nil, nil)
		is.True(ok)
		is.Equal(p.Host, "y")
		defer p.Release()
	}
	p, ok := b.Pick(nil, map[string]bool{"y": true, "x": true})
	is.True(ok)
	is.Equal(p.Host, "remote")
	p.Release()
	p.Release()
	is.Equal(b.InFlight(), map[string]int{"y": 9})
	_, ok = b.Pick(nil, map[string]bool{"y": true, "x": true, "remote": true})
	is.True(!ok)
}
