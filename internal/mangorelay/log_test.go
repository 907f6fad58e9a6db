package mangorelay

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangobudget"
	"mangopath.org/mangopath/internal/mangocrash"
	"mangopath.org/mangopath/internal/mangolog"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

var update = flag.Bool("update", false, "write the golden files")

// loggedCall returns a call that logs to a writer.
func loggedCall(t testing.TB, out interface{ Write(p []byte) (int, error) }) *call {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	c := newStreamCall(mangoreplica.NewHealthTracker())
	c.relay = New("a", nil, nil, nil, mangoreplica.NewHealthTracker(), mangobudget.New(mangobudget.Limit{Window: time.Second}),
		mangocrash.New("one"), WithLogger(logger))
	c.view = &mangostate.View{Revision: 7}
	c.outcome = "TooManyAttempts"
	return c
}

// Guards against log lines that lose or rename a field that operators search for.
func TestLogLinesKeepTheirFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := loggedCall(t, &out)
	c.logSend(chainTarget("r", "s"), resultLost)
	c.logSend(chainTarget("r", "s"), resultDelivered)
	c.logDone(false)
	c.relay.avoid(&mangoreplica.Replica{ID: "r"}, mangoreplica.CauseUnreachable, time.Second, "q")
	c.relay.clearOutage(&mangoreplica.Replica{ID: "r"}, "q")
	c.relay.reportCrash(&mangoreplica.Replica{ID: "r"}, []mangocrash.InFlight{{Request: mangocrash.Request{Fingerprint: "f"}}, {Request: mangocrash.Request{Fingerprint: "g"}}})
	c.outcome = outcomeCrashesUpstreams
	c.logDone(true)
	var lines []string
	for line := range strings.Lines(out.String()) {
		var keys []string
		for _, word := range strings.Fields(line) {
			if key, value, ok := strings.Cut(word, "="); ok {
				if key == "event" || key == "level" {
					key += "=" + value
				}
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		lines = append(lines, strings.Join(keys, " "))
	}
	got := strings.Join(lines, "\n") + "\n"
	golden := filepath.Join("testdata", "lines.golden")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o750))
		is.NoErr(os.WriteFile(golden, []byte(got), 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// BenchmarkLines measures the log lines of one request with one send.
func BenchmarkLines(b *testing.B) {
	writer := mangolog.New(discard{})
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- writer.Run(ctx) }()
	var counted counter
	counted.out = writer
	c := loggedCall(b, &counted)
	t := chainTarget("i-9a8dae19d0", "i-be1e027925", "i-3ebd9d4c2b", "i-43504ae2d2", "i-61d1ab29de", "i-96856d9dee", "i-aaa41b6370", "i-64e6f80a87")
	b.ReportAllocs()
	for b.Loop() {
		c.logSend(t, resultDelivered)
		c.logDone(true)
	}
	b.ReportMetric(float64(counted.n)/float64(b.N), "bytes/request")
	cancel()
	<-ended //nolint:errcheck // The writer ends with its context.
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

type counter struct {
	out *mangolog.Writer
	n   int
}

func (c *counter) Write(p []byte) (int, error) {
	c.n += len(p)
	return c.out.Write(p)
}
