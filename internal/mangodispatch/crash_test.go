package mangodispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// fakeCrashDetector is a CrashProber and a CrashObserver. If refuses is set, each lost connection counts as a crash.
type fakeCrashDetector struct {
	refuses bool
	// reported has the host and fingerprint of each reported crash.
	reported []string
}

func (f *fakeCrashDetector) RefusesConnections(context.Context, string) bool { return f.refuses }

func (f *fakeCrashDetector) Crashed(host, fingerprint string) {
	f.reported = append(f.reported, host+" "+fingerprint)
}

// Guards against a request that crashes a third replica, and against a lost connection or a refusal that counts as a crash.
func TestRequestCrashesAtMostTwoReplicas(t *testing.T) {
	const lost, refused = mangoupstream.KindLost, mangoupstream.KindRefused
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
