package mangodispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// fakeCrashDetector is a CrashProber and a CrashObserver. If refuses is set, replicas refuse connections.
type fakeCrashDetector struct {
	refuses bool
	// reported has the host and fingerprint of each reported crash.
	reported []string
}

func (f *fakeCrashDetector) RefusesConnections(context.Context, string) bool { return f.refuses }

func (f *fakeCrashDetector) Crashed(host, fingerprint string) {
	f.reported = append(f.reported, host+" "+fingerprint)
}

// Guards against a request that crashes a third replica, also if the first one ends only after the send to it was given up, and
// against a lost connection or a refusal that counts as a crash.
func TestRequestCrashesAtMostTwoReplicas(t *testing.T) {
	const lost, refused, timeout = mangoupstream.KindLost, mangoupstream.KindRefused, mangoupstream.KindTimeout
	tests := []struct {
		name     string
		failures []mangoupstream.Kind
		refuses  bool
		suspect  bool
		outcome  mangocall.Outcome
		sent     int
		reported int
	}{
		{"two crashes", []mangoupstream.Kind{lost, lost}, true, false, mangocall.Rejected, 2, 2},
		{"one crash", []mangoupstream.Kind{lost}, true, false, "", 2, 1},
		{"crash of a suspect", []mangoupstream.Kind{lost}, true, true, mangocall.Rejected, 1, 1},
		{"timeout, then crashes", []mangoupstream.Kind{timeout, lost}, true, false, mangocall.Rejected, 2, 2},
		{"crash, then timeout", []mangoupstream.Kind{lost, timeout}, true, false, mangocall.Rejected, 2, 2},
		{"timeout of a suspect", []mangoupstream.Kind{timeout}, true, true, mangocall.Rejected, 1, 1},
		{"refusal, then crash", []mangoupstream.Kind{refused, lost}, true, false, "", 3, 1},
		{"timeouts", []mangoupstream.Kind{timeout, timeout}, true, false, "", 3, 0},
		{"lost connections", []mangoupstream.Kind{lost, lost}, false, true, "", 3, 0},
		{"refusals", []mangoupstream.Kind{refused, refused}, true, true, "", 3, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				detector := &fakeCrashDetector{refuses: tt.refuses}
				service := &fakeService{failures: tt.failures}
				request := testCall(false, "")
				request.Fingerprint, request.Suspect = "f", tt.suspect
				_, err := New(service, NewBalancer(replicas), nil, ledgerStatusClient{}, WithCrashDetection(detector, detector)).Run(t.Context(), request)
				is.Equal(outcomeOf(err), tt.outcome)
				is.Equal(len(service.sent), tt.sent)
				is.Equal(len(detector.reported), tt.reported)
			})
		})
	}
}

// slowService answers after a time that is longer than the usual timeout of a send, unless the send ends before.
type slowService struct {
	delay time.Duration
	sent  int
}

func (s *slowService) Call(ctx context.Context, _ string, _ mangoupstream.Request) (mangoupstream.Answer, error) {
	s.sent++
	select {
	case <-ctx.Done():
		return mangoupstream.Answer{}, &mangoupstream.Error{Op: "Call", Kind: mangoupstream.KindTimeout}
	case <-time.After(s.delay):
		return mangoupstream.Answer{Status: 200}, nil
	}
}

// Guards against giving up a slow replica while the call has time left and no other replica, and against waiting for it while there
// is one.
func TestLastReplicaHasUntilDeadline(t *testing.T) {
	for n := 1; n <= len(replicas); n++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			service := &slowService{}
			d := New(service, NewBalancer(replicas[:n]), nil, ledgerStatusClient{})
			_, err := d.Run(t.Context(), testCall(false, ""))
			is.NoErr(err)
			service.delay, service.sent = 2*time.Second, 0
			begun := time.Now()
			_, err = d.Run(t.Context(), testCall(false, ""))
			is.NoErr(err)
			is.Equal(service.sent, n)
			is.True(time.Since(begun) < service.delay+time.Duration(n)*time.Second)
		})
	}
}
