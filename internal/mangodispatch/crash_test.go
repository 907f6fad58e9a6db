package mangodispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangocall"
	"mangopath.org/mangopath/internal/mangoupstream"
)

// crashes notes crashes and takes each lost connection for one if refuses is set.
type crashes struct {
	refuses bool
	seen    []string
}

func (c *crashes) Refuses(context.Context, string) bool { return c.refuses }

func (c *crashes) Crashed(host, fingerprint string) { c.seen = append(c.seen, host+" "+fingerprint) }

// Guards against a third replica lost to one request, and against a lost connection that counts as a crash.
func TestCrashes(t *testing.T) {
	const lost, refused = mangoupstream.KindLost, mangoupstream.KindRefused
	tests := []struct {
		name    string
		kinds   []mangoupstream.Kind
		refuses bool
		suspect bool
		outcome mangocall.Outcome
		sent    int
		seen    int
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
				c := &crashes{refuses: tt.refuses}
				service := &fakeService{kinds: tt.kinds}
				request := call(false, "")
				request.Fingerprint, request.Suspect = "f", tt.suspect
				_, err := New(service, NewBalancer(replicas), nil, asker{}, WithCrashDetection(c, c)).Run(t.Context(), request)
				is.Equal(outcome(err), tt.outcome)
				is.Equal(len(service.sent), tt.sent)
				is.Equal(len(c.seen), tt.seen)
			})
		})
	}
}
