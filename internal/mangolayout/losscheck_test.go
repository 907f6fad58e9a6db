package mangolayout

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// Guards against a new layout of a data centre because links that lose packets made its replicas look lost for a moment;
// three data centres were without a chain for eight seconds.
func TestLossIsCheckedBeforeLayersMove(t *testing.T) {
	tests := []struct {
		name  string
		cause mangoreplica.Cause
		err   error
		want  bool
	}{
		{"its process has ended", mangoreplica.CauseEnded, nil, true},
		{"it says that it is leaving", mangoreplica.CauseLeaving, nil, true},
		{"it looked lost and answers", mangoreplica.CauseUnreachable, nil, false},
		{"it looked lost and does not answer", mangoreplica.CauseUnreachable, errors.New("no answer"), true},
		{"requests through it stalled and it answers", mangoreplica.CauseStalled, nil, false},
		{"it refused a request", mangoreplica.CauseFaulty, errors.New("no answer"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			p := New(nil, heldLease{}, &fakeClient{err: tt.err}, mangoreplica.NewHealthTracker(), WithLogger(logger))
			r := &mangoreplica.Replica{ID: "r", Address: "127.0.0.1:1"}
			isLost := func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.isLost(context.WithoutCancel(t.Context()), r, tt.cause, time.Now())
			}
			first := isLost()
			is.Equal(first, tt.cause.CertainToFail())
			p.running.Wait()
			is.Equal(isLost(), tt.want)
		})
	}
}
