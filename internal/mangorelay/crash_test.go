package mangorelay

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangosuspect"
)

// Guards against streams that are cut because a data centre lost its power: all replicas of their chain are found lost one
// after the other, which must not look like a request that crashes one replica after the other.
func TestLossOfDataCentreBlamesNobody(t *testing.T) {
	tests := []struct {
		name    string
		centres []string
		held    bool
	}{
		{"one replica", []string{"a"}, false},
		{"a whole chain", []string{"a", "a", "a", "a"}, false},
		{"one replica in each of two", []string{"a", "b"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			suspects := mangosuspect.New("one")
			r := New("a", nil, nil, nil, mangoreplica.NewBoard(), mangobudget.New(mangobudget.Limit{}), suspects, WithLogger(logger))
			for i, c := range tt.centres {
				r.crashed(&mangoreplica.Replica{ID: string(rune('r' + i)), DataCentre: c, Service: "s"}, []string{"stream"})
			}
			is.Equal(suspects.Held("stream", time.Now()), tt.held)
		})
	}
}
